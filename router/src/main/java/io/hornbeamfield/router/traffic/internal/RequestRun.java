package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.budget.Reservation;
import io.hornbeamfield.core.result.Ran;
import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.core.routing.BackendView;
import com.google.common.util.concurrent.MoreExecutors;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.UnaryOperator;
import org.jspecify.annotations.Nullable;

/**
 * Runs one request: admission, reservation, attempts at backend servers, bill. All steps run in order on one sequential
 * executor, so that the events of different attempts cannot mix.
 */
final class RequestRun implements Attempt.Listener {
    private static final int MAX_ATTEMPTS = 4;

    private final TrafficContext context;
    private final CallerRequest request;
    private final Executor executor;
    private final UnaryOperator<AnswerEnd> onEnd;
    private final Answer answer = new Answer();
    private final Charges charges;
    private final Attempts attempts;
    private final Set<String> tried = new HashSet<>();
    private AdmissionGate.@Nullable Permit permit;
    private @Nullable Reservation reservation;
    private @Nullable BackendView server;
    private @Nullable Attempt attempt;
    private Optional<Refusal> lastFailure = Optional.empty();
    private int attemptCount;
    private boolean mayHaveRun;
    private boolean abandoned;

    RequestRun(TrafficContext context, CallerRequest request, UnaryOperator<AnswerEnd> onEnd) {
        this.context = context;
        this.request = request;
        this.onEnd = onEnd;
        this.executor = MoreExecutors.newSequentialExecutor(context.pool());
        this.charges = new Charges(context, request);
        this.attempts = new Attempts(context, request, executor, this);
    }

    Answer answer() {
        return answer;
    }

    CallerRequest request() {
        return request;
    }

    void start() {
        context.retries().requestStarted();
        context.gate()
                .enter(request.priority(), request.deadline())
                .whenCompleteAsync((result, failure) -> admitted(orBug(result, failure)), executor);
    }

    /** Stops a request that no caller waits for and that no caller can ask for again. */
    void abandon() {
        executor.execute(() -> {
            abandoned = true;
            Attempt current = attempt;
            if (current != null) {
                current.cancel();
            }
        });
    }

    private void admitted(Result<AdmissionGate.Permit> result) {
        if (result instanceof Result.Ok<AdmissionGate.Permit> ok) {
            permit = ok.value();
            reserve();
        } else if (result instanceof Result.Refused<AdmissionGate.Permit> refused) {
            giveUp(refused.refusal());
        }
    }

    private void reserve() {
        if (abandoned) {
            cancelled();
            return;
        }
        Duration wait = Duration.ofMillis(context.preset().admissionWaitMs());
        Duration left = request.deadline()
                .map(d -> Duration.between(context.clock().instant(), d))
                .orElse(wait);
        if (left.isNegative()) {
            giveUp(deadlinePassed());
            return;
        }
        context.budgets()
                .reserve(
                        request.budget(),
                        request.work().worstCaseTokens(),
                        left.compareTo(wait) < 0 ? left : wait)
                .whenCompleteAsync((result, failure) -> reserved(orBug(result, failure)), executor);
    }

    private void reserved(Result<Reservation> result) {
        if (result instanceof Result.Ok<Reservation> ok) {
            reservation = ok.value();
            dispatch(ok.value());
        } else if (result instanceof Result.Refused<Reservation> refused) {
            giveUp(refused.refusal());
        }
    }

    private void dispatch(Reservation held) {
        Optional<Refusal> obstacle = obstacle();
        Optional<BackendView> choice =
                obstacle.isPresent() ? Optional.empty() : context.servers().choose(request.work(), tried);
        if (choice.isEmpty()) {
            charges.settle(held, 0);
            reservation = null;
            giveUp(obstacle.or(() -> lastFailure).orElseGet(RequestRun::noBackend));
            return;
        }
        server = choice.get();
        tried.add(choice.get().id());
        attemptCount++;
        context.load().sent(choice.get().id());
        attempt = attempts.create(choice.get(), attemptCount);
        attempt.start();
    }

    private Optional<Refusal> obstacle() {
        if (abandoned) {
            return Optional.of(Refusal.of(ResultCode.OUTCOME_UNKNOWN, "The caller left."));
        }
        Instant now = context.clock().instant();
        return request.deadline().filter(now::isAfter).map(d -> deadlinePassed());
    }

    @Override
    public void content(Chunk chunk) {
        answer.append(chunk);
    }

    @Override
    public void ended(AttemptEnd end) {
        BackendView used = server;
        Reservation held = reservation;
        if (used == null || held == null) {
            throw new IllegalStateException("An attempt ended that was not started.");
        }
        attempt = null;
        context.load().finished(used.id());
        if (end instanceof AttemptEnd.NotSent notSent) {
            context.load().connectFailed(used.id());
            retryWith(held, notSent.refusal());
            return;
        }
        charges.settle(held, end.spent());
        reservation = null;
        if (end instanceof AttemptEnd.Done done) {
            finish(done.end(), "complete");
        } else if (end instanceof AttemptEnd.Declined declined) {
            declined(declined);
        } else if (end instanceof AttemptEnd.Failed failed) {
            failed(failed);
        } else {
            cancelled();
        }
    }

    private void retryWith(Reservation held, Refusal refusal) {
        lastFailure = Optional.of(refusal);
        if (mayRetry()) {
            dispatch(held);
        } else {
            charges.settle(held, 0);
            reservation = null;
            giveUp(refusal);
        }
    }

    private void declined(AttemptEnd.Declined declined) {
        lastFailure = Optional.of(declined.refusal());
        if (declined.otherServerMayAccept() && request.work().repeatable() && mayRetry()) {
            reserve();
        } else {
            giveUp(declined.refusal());
        }
    }

    private void failed(AttemptEnd.Failed failed) {
        mayHaveRun = true;
        lastFailure = Optional.of(failed.refusal());
        if (request.work().repeatable() && answer.restart() && mayRetry()) {
            reserve();
        } else {
            giveUp(failed.refusal());
        }
    }

    private boolean mayRetry() {
        if (abandoned || attemptCount >= MAX_ATTEMPTS || !context.retries().tryRetry()) {
            return false;
        }
        context.counters().count("retries");
        return true;
    }

    private void cancelled() {
        Refusal refusal = Refusal.of(ResultCode.OUTCOME_UNKNOWN, "The caller left before the answer was complete.");
        finish(new AnswerEnd.Refused(refusal), "cancelled");
    }

    /** Ends the request with a refusal, which never claims that the request was not run when it may have run. */
    private void giveUp(Refusal refusal) {
        boolean claimsTooMuch = mayHaveRun && refusal.code().ran() == Ran.NO;
        Refusal truthful = claimsTooMuch
                ? Refusal.of(ResultCode.BACKEND_FAILED, "An earlier attempt failed. " + refusal.detail())
                : refusal;
        finish(new AnswerEnd.Refused(truthful), "failed");
    }

    /** The end of the answer waits for its bill, so that a router that dies later has lost no bill. */
    private void finish(AnswerEnd end, String status) {
        AdmissionGate.Permit held = permit;
        if (held != null) {
            held.release();
        }
        charges.bill(status)
                .whenCompleteAsync(
                        (done, failure) -> {
                            AnswerEnd published = onEnd.apply(end);
                            context.counters().ended(published);
                            answer.finish(published);
                        },
                        executor);
    }

    private static <T> Result<T> orBug(@Nullable Result<T> result, @Nullable Throwable failure) {
        return result != null
                ? result
                : Result.refused(ResultCode.OVERLOADED, "The router failed: " + failure + ". Retry.");
    }

    private static Refusal deadlinePassed() {
        return Refusal.of(ResultCode.DEADLINE_PASSED, "Send the request with a later deadline.");
    }

    private static Refusal noBackend() {
        return Refusal.of(ResultCode.NO_BACKEND, "No live backend server can take the request. Retry later.")
                .retryAfter(1);
    }
}
