package io.hornbeamfield.client.internal;

import io.hornbeamfield.client.HornbeamfieldClient.Settings;
import io.hornbeamfield.client.Outcome;
import io.hornbeamfield.client.internal.AddressBook.Addresses;
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
 * Tries one request until its outcome is known or the tries or the time are used up. While the request may have run, it
 * keeps its key; only when it certainly did not run, it gets a new key, which names another router as its owner.
 */
final class RequestFlow {
    private static final Duration BACKOFF = Duration.ofMillis(100);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);

    private final Settings settings;
    private final AddressBook addresses;
    private final RouterHealth health;
    private final Sender sender;
    private final Executor executor;
    private final ScheduledExecutorService timer;
    private final Deadline deadline;
    private final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    private Optional<RequestKey> key = Optional.empty();
    private Optional<Refusal> lastRefusal = Optional.empty();
    private boolean mayHaveRun;
    private int tries;
    private int turn;
    private List<Router> lastRouters = List.of();

    RequestFlow(
            Settings settings,
            AddressBook addresses,
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
        executor.execute(this::nextTry);
        return outcome;
    }

    private void nextTry() {
        if (tries >= settings.maxTries() || deadline.hasPassed(settings.clock())) {
            giveUp();
            return;
        }
        tries++;
        addresses.get().thenAcceptAsync(this::send, executor);
    }

    private void send(Addresses answer) {
        lastRouters = answer.routers();
        List<Router> routers = health.preferred(lastRouters);
        if (routers.isEmpty()) {
            lastRefusal = answer.refusal().or(() -> lastRefusal);
            tryAgainIn(backoff());
            return;
        }
        Router router = routers.get(turn % routers.size());
        RequestKey used = key.orElseGet(() -> newKey(router, answer.clockAheadSeconds()));
        key = Optional.of(used);
        sender.send(router, used.text(), deadline.remaining(settings.clock()), end -> ended(router, end));
    }

    private RequestKey newKey(Router owner, long clockAheadSeconds) {
        long now = settings.clock().instant().getEpochSecond() + clockAheadSeconds;
        return new RequestKey(
                owner.incarnation(), now, UUID.randomUUID().toString().replace("-", ""));
    }

    private void ended(Router router, TryEnd end) {
        if (end instanceof TryEnd.Whole whole) {
            outcome.complete(whole.answer());
        } else if (end instanceof TryEnd.NotSent) {
            avoid(router);
            notSent();
        } else if (end instanceof TryEnd.Broken) {
            mayHaveRun = true;
            turn++;
            tryAgainIn(backoff());
        } else if (end instanceof TryEnd.RouterDead) {
            mayHaveRun = true;
            avoid(router);
            tryAgainIn(Duration.ZERO);
        } else if (end instanceof TryEnd.Refused refused) {
            refused(refused.refusal());
        }
    }

    /** The others keep their order, in which those of the own availability zone come first. */
    private void avoid(Router router) {
        health.avoid(router);
        if (health.preferred(lastRouters).contains(router)) {
            turn++;
        }
    }

    private void notSent() {
        if (!mayHaveRun) {
            key = Optional.empty();
        }
        addresses.invalidate();
        tryAgainIn(tries < 3 ? Duration.ZERO : backoff());
    }

    private void refused(Refusal refusal) {
        lastRefusal = Optional.of(refusal);
        if (refusal.code().ran() == Ran.UNKNOWN) {
            mayHaveRun = true;
            if (refusal.code() == ResultCode.OUTCOME_UNKNOWN) {
                // The owner may become reachable again while the key is valid.
                turn++;
                tryAgainIn(backoff());
            } else {
                outcome.complete(new Outcome.OutcomeUnknown(refusal));
            }
        } else if (mayHaveRun && !RetryRules.ownerLookedUpTheKey(refusal.code())) {
            turn++;
            tryAgainIn(backoff());
        } else {
            certainlyNotRun(refusal);
        }
    }

    private void certainlyNotRun(Refusal refusal) {
        mayHaveRun = false;
        key = Optional.empty();
        turn++;
        if (RetryRules.routerIsUnfit(refusal.code())) {
            addresses.invalidate();
        }
        Duration wait = RetryRules.routerIsUnfit(refusal.code())
                ? backoff()
                : refusal.retryAfterSeconds().isPresent()
                        ? Duration.ofSeconds(refusal.retryAfterSeconds().getAsInt())
                        : backoff();
        if (RetryRules.mayRetry(refusal.code()) && deadline.allows(wait, settings.clock())) {
            tryAgainIn(wait);
        } else {
            outcome.complete(new Outcome.RefusedNotRun(refusal));
        }
    }

    private void tryAgainIn(Duration wait) {
        timer.schedule(() -> executor.execute(this::nextTry), wait.toMillis(), TimeUnit.MILLISECONDS);
    }

    private Duration backoff() {
        Duration wait = BACKOFF.multipliedBy(1L << Math.min(tries, 6) >> 1);
        return wait.compareTo(MAX_BACKOFF) < 0 ? wait : MAX_BACKOFF;
    }

    private void giveUp() {
        if (mayHaveRun) {
            outcome.complete(new Outcome.OutcomeUnknown(lastRefusal
                    .filter(r -> r.code().ran() == Ran.UNKNOWN)
                    .orElseGet(() -> Refusal.of(
                            ResultCode.OUTCOME_UNKNOWN, "No whole answer arrived in " + tries + " tries."))));
        } else {
            outcome.complete(new Outcome.RefusedNotRun(lastRefusal.orElseGet(
                    () -> Refusal.of(ResultCode.NO_BACKEND, "No router could be reached in " + tries + " tries."))));
        }
    }
}
