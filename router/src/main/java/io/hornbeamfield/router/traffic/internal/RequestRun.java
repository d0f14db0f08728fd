package io.hornbeamfield.router.traffic.internal;

import com.google.common.util.concurrent.MoreExecutors;
import io.hornbeamfield.core.admission.AdmissionCallback;
import io.hornbeamfield.core.admission.AdmissionQueue;
import io.hornbeamfield.core.admission.AdmissionRequest;
import io.hornbeamfield.core.admission.AdmissionSlot;
import io.hornbeamfield.core.attempt.NotRunPromise;
import io.hornbeamfield.core.budget.Reservation;
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
 * Runs one request: admission, reservation, attempts at backend servers, billing. All steps run in order on one
 * sequential executor, so that the events of different attempts cannot interleave.
 */
final class RequestRun implements Attempt.Listener {
    private static final int MAX_ATTEMPTS = 4;
    private static final Logger LOG = Logger.getLogger(RequestRun.class);

    private final TrafficContext context;
    private final CallerRequest request;
    private final Executor executor;
    private final BiConsumer<RequestRun, AnswerOutcome> onEnd;
    private final Answer answer = new Answer();
    private final Charges charges;
    private final PromptQuarantine prompt;
    private final AttemptFactory attemptFactory;
    private final Set<String> triedServers = new HashSet<>();
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

    RequestRun(TrafficContext context, CallerRequest request, BiConsumer<RequestRun, AnswerOutcome> onEnd) {
        this.context = context;
        this.request = request;
        this.onEnd = onEnd;
        Executor steps = MoreExecutors.newSequentialExecutor(context.pool());
        this.executor = step -> steps.execute(() -> runGuarded(step));
        this.charges = new Charges(context, request);
        this.prompt = new PromptQuarantine(context, request.work());
        this.attemptFactory = new AttemptFactory(context, request, executor, this);
    }

    /**
     * Runs a step. A fault of the router in it must neither leave callers waiting nor block a graceful stop. A step
     * that follows a future is handed to the executor from within its action, since the future would keep the fault.
     */
    private void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            context.counters().count("faults");
            LOG.errorf(
                    e,
                    "Request %s failed because of an internal error.",
                    request.key().text());
            mayHaveRun = true;
            AnswerOutcome end = new AnswerOutcome.Refused(
                    Refusal.of(ResultCode.OUTCOME_UNKNOWN, "Internal error of the router: " + e));
            try {
                stopAfterFault(end);
            } finally {
                publish(end);
            }
        }
    }

    private void stopAfterFault(AnswerOutcome end) {
        Attempt current = attempt;
        BackendView used = server;
        Reservation held = reservation;
        attempt = null;
        reservation = null;
        if (held != null) {
            charges.settle(held, held.tokens());
        }
        if (current != null && used != null) {
            context.load().finished(used.id());
        }
        finish(end, "failed");
        if (current != null) {
            current.cancel();
        }
    }

    Answer answer() {
        return answer;
    }

    CallerRequest request() {
        return request;
    }

    void start() {
        executor.execute(() -> {
            Optional<Refusal> quarantined = prompt.refusal();
            if (quarantined.isPresent()) {
                finishRefused(quarantined.get());
                return;
            }
            context.retries().requestStarted(context.preset().retryRatio());
            pending = context.queue()
                    .submit(
                            new AdmissionRequest(
                                    request.workspace(),
                                    request.priority(),
                                    request.deadline(),
                                    request.work().worstCaseTokens()),
                            new AdmissionHandler());
        });
    }

    /** Hands the decision of the admission queue over to the executor of the request. */
    private final class AdmissionHandler implements AdmissionCallback {
        @Override
        public void start(AdmissionSlot granted) {
            executor.execute(() -> {
                slot = granted;
                reserve();
            });
        }

        @Override
        public void refuse(Refusal refusal) {
            executor.execute(() -> finishRefused(refusal));
        }
    }

    /** Cancels a request that no caller waits for and that no caller can fetch later. */
    void abandon() {
        executor.execute(() -> {
            abandoned = true;
            AdmissionQueue.Pending waiting = pending;
            Attempt current = attempt;
            if (current != null) {
                current.cancel();
            } else if (waiting != null && waiting.cancel()) {
                finishCancelled();
            }
        });
    }

    private void reserve() {
        if (abandoned) {
            finishCancelled();
            return;
        }
        if (request.deadline().hasPassed(context.clock())) {
            finishRefused(deadlinePassed());
            return;
        }
        Duration left = request.deadline().remaining(context.clock());
        Duration wait = Duration.ofMillis(context.preset().admissionWaitMs());
        context.budgets()
                .reserve(request.budget(), request.work().worstCaseTokens(), left.compareTo(wait) < 0 ? left : wait)
                .whenComplete((result, failure) -> executor.execute(() -> reserved(orRouterFault(result, failure))));
    }

    private void reserved(Result<Reservation> result) {
        if (result instanceof Result.Ok<Reservation> ok) {
            reservation = ok.value();
            dispatch(ok.value());
        } else if (result instanceof Result.Refused<Reservation> refused) {
            finishRefused(refused.refusal());
        }
    }

    private void dispatch(Reservation held) {
        Optional<Refusal> refusalBeforeDispatch = refusalBeforeDispatch();
        Optional<BackendView> choice = refusalBeforeDispatch.isPresent()
                ? Optional.empty()
                : context.servers().select(request.work(), triedServers);
        if (choice.isEmpty()) {
            charges.settle(held, 0);
            reservation = null;
            finishRefused(refusalBeforeDispatch.or(() -> lastFailure).orElseGet(RequestRun::noBackend));
            return;
        }
        server = choice.get();
        triedServers.add(choice.get().id());
        attemptCount++;
        context.servers().recordSent(request.work(), choice.get());
        attempt = attemptFactory.create(choice.get(), attemptCount);
        attempt.start();
    }

    private Optional<Refusal> refusalBeforeDispatch() {
        if (abandoned) {
            return Optional.of(Refusal.of(ResultCode.OUTCOME_UNKNOWN, "The caller disconnected."));
        }
        return request.deadline().hasPassed(context.clock()) ? Optional.of(deadlinePassed()) : prompt.refusal();
    }

    @Override
    public void content(Chunk chunk) {
        prompt.tokenReceived();
        answer.append(chunk);
    }

    @Override
    public void ended(AttemptOutcome end) {
        BackendView used = server;
        Reservation held = reservation;
        if (used == null || held == null) {
            // A fault of the router has already ended the request and charged the whole reservation.
            return;
        }
        attempt = null;
        context.load().finished(used.id());
        if (end instanceof AttemptOutcome.NotSent notSent) {
            context.load().connectFailed(used.id());
            retryWithReservation(held, notSent.refusal());
            return;
        }
        charges.settle(held, end.spent(), end.billed());
        reservation = null;
        if (end instanceof AttemptOutcome.Done done) {
            prompt.answered();
            finish(done.end(), "complete");
        } else if (end instanceof AttemptOutcome.Declined declined) {
            declined(declined);
        } else if (end instanceof AttemptOutcome.Failed failed) {
            failed(failed, used.id());
        } else {
            finishCancelled();
        }
    }

    private void retryWithReservation(Reservation held, Refusal refusal) {
        lastFailure = Optional.of(refusal);
        if (mayRetry()) {
            dispatch(held);
        } else {
            charges.settle(held, 0);
            reservation = null;
            finishRefused(refusal);
        }
    }

    private void declined(AttemptOutcome.Declined declined) {
        lastFailure = Optional.of(declined.refusal());
        if (declined.otherServerMayAccept() && request.work().repeatable() && mayRetry()) {
            reserve();
        } else {
            finishRefused(declined.refusal());
        }
    }

    private void failed(AttemptOutcome.Failed failed, String serverId) {
        mayHaveRun = true;
        boolean suspect = failed.lostBeforeAnswer() && prompt.engineLost(serverId);
        lastFailure = Optional.of(failed.refusal());
        if (!suspect && request.work().repeatable() && answer.resetForRetry() && mayRetry()) {
            reserve();
        } else {
            finishRefused(failed.refusal());
        }
    }

    private boolean mayRetry() {
        if (abandoned || attemptCount >= MAX_ATTEMPTS || !context.retries().tryRetry()) {
            return false;
        }
        context.counters().count("retries");
        return true;
    }

    private void finishCancelled() {
        Refusal refusal =
                Refusal.of(ResultCode.OUTCOME_UNKNOWN, "The caller disconnected before the answer was complete.");
        finish(new AnswerOutcome.Refused(refusal), "cancelled");
    }

    /**
     * Ends the request with a refusal. The refusal must not claim that the request was not run when an attempt may have
     * run it.
     */
    private void finishRefused(Refusal refusal) {
        ResultCode proven = NotRunPromise.refusalCode(refusal.code(), mayHaveRun);
        Refusal corrected = proven == refusal.code()
                ? refusal
                : Refusal.of(proven, "An earlier attempt failed. " + refusal.detail());
        finish(new AnswerOutcome.Refused(corrected), "failed");
    }

    /**
     * Bills the request and then publishes its outcome, so that a router that dies after the answer has lost no bill.
     */
    private void finish(AnswerOutcome end, String status) {
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
        charges.bill(status).whenComplete((done, failure) -> executor.execute(() -> publish(end)));
    }

    private void publish(AnswerOutcome end) {
        if (!published) {
            published = true;
            onEnd.accept(this, end);
        }
    }

    private static <T> Result<T> orRouterFault(@Nullable Result<T> result, @Nullable Throwable failure) {
        return result != null
                ? result
                : Result.refused(ResultCode.OVERLOADED, "Internal error of the router: " + failure + ". Retry.");
    }

    private static Refusal deadlinePassed() {
        return Refusal.of(ResultCode.DEADLINE_PASSED, "Send the request with a later deadline.");
    }

    private static Refusal noBackend() {
        return Refusal.of(ResultCode.NO_BACKEND, "No live backend server can take the request. Retry later.")
                .retryAfter(1);
    }
}
