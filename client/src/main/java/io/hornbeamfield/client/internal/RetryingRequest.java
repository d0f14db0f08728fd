package io.hornbeamfield.client.internal;

import io.hornbeamfield.client.HornbeamfieldClient.Settings;
import io.hornbeamfield.client.Outcome;
import io.hornbeamfield.client.internal.AddressCache.Addresses;
import io.hornbeamfield.core.admission.Deadline;
import io.hornbeamfield.core.identity.RequestKey;
import io.hornbeamfield.core.result.Ran;
import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.ResultCode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Retries one request until its outcome is known, or until the attempts or the deadline are exhausted. The request
 * keeps its key while it may have run. It gets a new key, which names another router as its owner, only once it is
 * certain that it did not run.
 */
final class RetryingRequest {
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);

    private final Settings settings;
    private final AddressCache addresses;
    private final RouterHealth health;
    private final Sender sender;
    private final Executor executor;
    private final ScheduledExecutorService timer;
    private final Deadline deadline;
    private final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    private Optional<RequestKey> key = Optional.empty();
    private Optional<Refusal> lastRefusal = Optional.empty();
    private boolean mayHaveRun;
    /** Whether a router that does not own the key may have run the request while it could not reach the owner. */
    private boolean mayHaveRunElsewhere;

    private int attempts;
    private int routerIndex;
    private List<Router> lastRouters = List.of();

    RetryingRequest(
            Settings settings,
            AddressCache addresses,
            RouterHealth health,
            Sender sender,
            Duration limit,
            Executor executor,
            ScheduledExecutorService timer) {
        this.settings = settings;
        this.addresses = addresses;
        this.health = health;
        this.sender = sender;
        this.executor = executor;
        this.timer = timer;
        this.deadline = Deadline.after(limit, settings.clock());
    }

    CompletableFuture<Outcome> start() {
        executor.execute(this::startAttempt);
        return outcome;
    }

    private void startAttempt() {
        if (attempts >= settings.maxTries() || deadline.hasPassed(settings.clock())) {
            completeExhausted();
            return;
        }
        attempts++;
        addresses.get().thenAcceptAsync(this::send, executor);
    }

    private void send(Addresses found) {
        lastRouters = found.routers();
        List<Router> routers = health.preferred(lastRouters);
        if (routers.isEmpty()) {
            lastRefusal = found.refusal().or(() -> lastRefusal);
            retryIn(backoff());
            return;
        }
        Router router = routers.get(routerIndex % routers.size());
        RequestKey requestKey = key.orElseGet(() -> newKey(router, found.clockAheadSeconds()));
        key = Optional.of(requestKey);
        sender.send(
                router,
                requestKey.text(),
                deadline.remaining(settings.clock()),
                result -> onAttemptEnd(router, result));
    }

    private RequestKey newKey(Router owner, long clockAheadSeconds) {
        long now = settings.clock().instant().getEpochSecond() + clockAheadSeconds;
        return new RequestKey(
                owner.incarnation(), now, UUID.randomUUID().toString().replace("-", ""));
    }

    private void onAttemptEnd(Router router, AttemptResult result) {
        if (result instanceof AttemptResult.Completed completed) {
            outcome.complete(completed.answer());
        } else if (result instanceof AttemptResult.NotSent) {
            avoid(router);
            retryUnsent();
        } else if (result instanceof AttemptResult.Incomplete) {
            recordPossibleRun(router);
            routerIndex++;
            retryIn(backoff());
        } else if (result instanceof AttemptResult.RouterUnresponsive) {
            recordPossibleRun(router);
            avoid(router);
            retryIn(Duration.ZERO);
        } else if (result instanceof AttemptResult.Refused refused) {
            onRefusal(refused.refusal());
        }
    }

    private void recordPossibleRun(Router router) {
        mayHaveRun = true;
        mayHaveRunElsewhere |=
                key.filter(k -> !k.owner().equals(router.incarnation())).isPresent();
    }

    /** Avoids the router. The other routers keep their order, with those of the own availability zone first. */
    private void avoid(Router router) {
        health.avoid(router);
        if (health.preferred(lastRouters).contains(router)) {
            routerIndex++;
        }
    }

    private void retryUnsent() {
        if (!mayHaveRun) {
            key = Optional.empty();
        }
        addresses.invalidate();
        retryIn(attempts < 3 ? Duration.ZERO : backoff());
    }

    private void onRefusal(Refusal refusal) {
        lastRefusal = Optional.of(refusal);
        if (refusal.code().ran() == Ran.UNKNOWN) {
            mayHaveRun = true;
            if (refusal.code() == ResultCode.OUTCOME_UNKNOWN) {
                // The owner may become reachable again while the key is still valid.
                routerIndex++;
                retryIn(backoff());
            } else {
                outcome.complete(new Outcome.OutcomeUnknown(refusal));
            }
        } else if (sender.answerBegun()
                || mayHaveRunElsewhere
                || (mayHaveRun && !RetryPolicy.isDecidedAfterKeyLookup(refusal.code()))) {
            // A request with a part of its answer has run, whatever a router says. An owner that was paused or cut off
            // does not know what other routers ran in the meantime.
            routerIndex++;
            retryIn(backoff());
        } else {
            onNotRun(refusal);
        }
    }

    private void onNotRun(Refusal refusal) {
        mayHaveRun = false;
        key = Optional.empty();
        routerIndex++;
        if (RetryPolicy.isRouterSpecific(refusal.code())) {
            addresses.invalidate();
        }
        Duration wait = RetryPolicy.isRouterSpecific(refusal.code())
                ? backoff()
                : refusal.retryAfterSeconds().isPresent()
                        ? Duration.ofSeconds(refusal.retryAfterSeconds().getAsInt())
                        : backoff();
        if (RetryPolicy.isTransient(refusal.code()) && deadline.allows(wait, settings.clock())) {
            retryIn(wait);
        } else {
            outcome.complete(new Outcome.RefusedNotRun(refusal));
        }
    }

    private void retryIn(Duration wait) {
        timer.schedule(() -> executor.execute(this::startAttempt), wait.toMillis(), TimeUnit.MILLISECONDS);
    }

    private Duration backoff() {
        Duration wait = INITIAL_BACKOFF.multipliedBy(1L << Math.min(attempts, 6) >> 1);
        return wait.compareTo(MAX_BACKOFF) < 0 ? wait : MAX_BACKOFF;
    }

    private void completeExhausted() {
        if (mayHaveRun) {
            outcome.complete(new Outcome.OutcomeUnknown(lastRefusal
                    .filter(r -> r.code().ran() == Ran.UNKNOWN)
                    .orElseGet(() -> Refusal.of(
                            ResultCode.OUTCOME_UNKNOWN, "No complete answer arrived in " + attempts + " attempts."))));
        } else {
            outcome.complete(new Outcome.RefusedNotRun(lastRefusal.orElseGet(() ->
                    Refusal.of(ResultCode.NO_BACKEND, "No router could be reached in " + attempts + " attempts."))));
        }
    }
}
