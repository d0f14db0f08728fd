package io.hornbeamfield.router.traffic.internal;

import com.google.common.util.concurrent.MoreExecutors;
import io.hornbeamfield.core.admission.AdmissionCallback;
import io.hornbeamfield.core.admission.AdmissionQueue;
import io.hornbeamfield.core.admission.AdmissionRequest;
import io.hornbeamfield.core.admission.AdmissionSlot;
import io.hornbeamfield.core.budget.Reservation;
import io.hornbeamfield.core.result.Ran;
import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.core.routing.BackendView;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Runs one request: admission, reservation, attempts at backend servers, bill. All steps run in order on one sequential
 * executor, so that the events of different attempts cannot mix.
 */
final class RequestRun implements Attempt.Listener {
    private static final int MAX_ATTEMPTS = 4;
    private static final Logger LOG = Logger.getLogger(RequestRun.class);

    private final TrafficContext context;
    private final CallerRequest request;
    private final Executor executor;
    private final BiConsumer<RequestRun, AnswerEnd> onEnd;
    private final Answer answer = new Answer();
    private final Charges charges;
    private final Attempts attempts;
    private final Set<String> tried = new HashSet<>();
    private AdmissionQueue.@Nullable Pending pending;
    private @Nullable AdmissionSlot slot;
    private @Nullable Reservation reservation;
    private @Nullable BackendView server;
    private @Nullable Attempt attempt;
    private Optional<Refusal> lastFailure = Optional.empty();
    private int attemptCount;
    private boolean mayHaveRun;
    private boolean abandoned;
    private boolean ended;
    private boolean published;

    RequestRun(TrafficContext context, CallerRequest request, BiConsumer<RequestRun, AnswerEnd> onEnd) {
        this.context = context;
        this.request = request;
        this.onEnd = onEnd;
        Executor steps = MoreExecutors.newSequentialExecutor(context.pool());
        this.executor = step -> steps.execute(() -> guarded(step));
        this.charges = new Charges(context, request);
        this.attempts = new Attempts(context, request, executor, this);
    }

    /** A fault in one request must not leave its callers waiting, nor keep a graceful stop from ending. */
    private void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            context.counters().count("faults");
            LOG.errorf(
                    e,
                    "Request %s failed by a fault of the router.",
                    request.key().text());
            mayHaveRun = true;
            AnswerEnd end = new AnswerEnd.Refused(Refusal.of(ResultCode.OUTCOME_UNKNOWN, "The router failed: " + e));
            try {
                stopAfterFault(end);
            } finally {
                publish(end);
            }
        }
    }

    private void stopAfterFault(AnswerEnd end) {
        Attempt current = attempt;
        Reservation held = reservation;
        attempt = null;
        reservation = null;
        if (current != null) {
            current.cancel();
        }
        if (held != null) {
            charges.settle(held, held.tokens());
        }
        finish(end, "failed");
    }

    Answer answer() {
        return answer;
    }

    CallerRequest request() {
        return request;
    }

    void start() {
        executor.execute(() -> {
            context.retries().requestStarted(context.preset().retryRatio());
            pending = context.queue()
                    .submit(
                            new AdmissionRequest(
                                    request.workspace(),
                                    request.priority(),
                                    request.deadline(),
                                    request.work().worstCaseTokens()),
                            new Turn());
        });
    }

    /** Moves the decision of the admission queue to the executor of the request. */
    private final class Turn implements AdmissionCallback {
        @Override
        public void start(AdmissionSlot granted) {
            executor.execute(() -> {
                slot = granted;
                reserve();
            });
        }

        @Override
        public void refuse(Refusal refusal) {
            executor.execute(() -> giveUp(refusal));
        }
    }

    /** Stops a request that no caller waits for and that no caller can ask for again. */
    void abandon() {
        executor.execute(() -> {
            abandoned = true;
            AdmissionQueue.Pending waiting = pending;
            Attempt current = attempt;
            if (current != null) {
                current.cancel();
            } else if (waiting != null && waiting.cancel()) {
                cancelled();
            }
        });
    }

    private void reserve() {
        if (abandoned) {
            cancelled();
            return;
        }
        if (request.deadline().hasPassed(context.clock())) {
            giveUp(deadlinePassed());
            return;
        }
        Duration left = request.deadline().remaining(context.clock());
        Duration wait = Duration.ofMillis(context.preset().admissionWaitMs());
        context.budgets()
                .reserve(request.budget(), request.work().worstCaseTokens(), left.compareTo(wait) < 0 ? left : wait)
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
        context.servers().sent(request.work(), choice.get());
        attempt = attempts.create(choice.get(), attemptCount);
        attempt.start();
    }

    private Optional<Refusal> obstacle() {
        if (abandoned) {
            return Optional.of(Refusal.of(ResultCode.OUTCOME_UNKNOWN, "The caller left."));
        }
        return request.deadline().hasPassed(context.clock()) ? Optional.of(deadlinePassed()) : Optional.empty();
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
            // A fault has ended the request and charged the whole reservation.
            return;
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
        if (ended) {
            return;
        }
        ended = true;
        AdmissionSlot held = slot;
        if (held != null && status.equals("complete")) {
            held.finished();
        } else if (held != null) {
            held.close();
        }
        charges.bill(status).whenCompleteAsync((done, failure) -> publish(end), executor);
    }

    private void publish(AnswerEnd end) {
        if (!published) {
            published = true;
            onEnd.accept(this, end);
        }
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
