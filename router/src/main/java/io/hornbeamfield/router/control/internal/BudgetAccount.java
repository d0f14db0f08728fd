package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.budget.Allotment;
import io.hornbeamfield.core.budget.AllotmentAction;
import io.hornbeamfield.core.budget.BudgetUpdate;
import io.hornbeamfield.core.budget.DemandRate;
import io.hornbeamfield.core.budget.HolderEntry;
import io.hornbeamfield.core.budget.Reservation;
import io.hornbeamfield.core.budget.TransferGrant;
import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.platform.VersionedValue;
import io.hornbeamfield.net.platform.WriteResult;
import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;

/**
 * One budget at this router: its allotment, the requests that wait for tokens and the one platform call in flight.
 * {@link #reserve} and {@link #settle} are callable from any thread, everything else runs on the control thread.
 */
final class BudgetAccount {
    /** Shortest interval between reads of a record without free tokens; also bounds the time until a top-up is seen. */
    private static final Duration REREAD_PERIOD = Duration.ofMillis(250);
    /** Time for the platform and a round of peers to answer; also granted to requests with a shorter wait. */
    private static final Duration MIN_DECISION_TIME = Duration.ofMillis(500);
    /** Waiting requests ask peers for tokens once a platform call is unanswered for this long. */
    private static final Duration SLOW_CALL_THRESHOLD = Duration.ofMillis(300);

    private static final Duration CHECKPOINT_PERIOD = Duration.ofSeconds(10);
    /** Queue length beyond which requests are refused at once while nothing is free, to spare the router. */
    private static final int MAX_WAITERS_WITHOUT_FREE = 64;

    /** Time to keep an unused account, so that repeated requests for an absent budget reuse the answer. */
    static final Duration UNUSED_ACCOUNT_TTL = Duration.ofSeconds(10);

    private final ControlContext context;
    private final PlatformHealth health;
    private final Allotment allotment;
    private final String key;
    private final BudgetRefusals refusals;
    private final DemandRate rate;
    private final BudgetQueue queue = new BudgetQueue();
    private final TransferRound transfers;
    private final AtomicBoolean reconcileQueued = new AtomicBoolean();
    private final Backoff backoff = new Backoff(Duration.ofMillis(100), Duration.ofSeconds(2));
    private final Backoff conflictBackoff = new Backoff(Duration.ofMillis(5), Duration.ofMillis(200));
    private volatile long lowWater;
    private @Nullable BudgetSnapshot snapshot;
    private Instant absenceConfirmedAt = Instant.EPOCH;
    private Instant readAt = Instant.EPOCH;
    private Instant callStartedAt = Instant.EPOCH;
    private Instant retryAt = Instant.EPOCH;
    private Instant checkpointAt;
    private boolean calling;
    private boolean readRequired;
    private @Nullable CompletableFuture<Void> closing;

    BudgetAccount(ControlContext context, PeerEventDispatcher peers, PlatformHealth health, String budget) {
        this.context = context;
        this.health = health;
        this.allotment = new Allotment(budget, context.incarnation());
        this.key = BudgetSnapshot.PREFIX + budget;
        this.refusals = new BudgetRefusals(budget);
        this.rate = DemandRate.forHorizon(
                context.loop().clock(),
                BudgetPolicy.of(budget, context.blackboard()).horizon());
        this.checkpointAt = context.now();
        this.transfers = new TransferRound(context, peers, allotment, this::reconcile);
    }

    Allotment allotment() {
        return allotment;
    }

    int waiting() {
        return queue.size();
    }

    double demand() {
        return rate.tokensPerSecond();
    }

    CompletableFuture<Result<Reservation>> reserve(long tokens, Duration wait) {
        rate.add(tokens);
        Optional<Reservation> reservation = allotment.reserve(tokens);
        if (reservation.isPresent()) {
            if (allotment.available() < lowWater) {
                queueReconcile();
            }
            return CompletableFuture.completedFuture(Result.ok(reservation.get()));
        }
        CompletableFuture<Result<Reservation>> answer = new CompletableFuture<>();
        Instant now = context.now();
        PendingReservation pending = new PendingReservation(tokens, now, now.plus(wait), answer);
        context.loop().execute(() -> await(pending, wait));
        return answer;
    }

    void settle(Reservation reservation, long spentTokens) {
        allotment.settle(reservation, spentTokens);
        if (queue.size() > 0 || allotment.state() == Allotment.State.CLOSING) {
            queueReconcile();
        }
    }

    private void queueReconcile() {
        if (reconcileQueued.compareAndSet(false, true)) {
            context.loop().execute(this::reconcile);
        }
    }

    private void await(PendingReservation pending, Duration wait) {
        queue.add(pending);
        context.loop().after(wait, this::reconcile);
        if (wait.compareTo(MIN_DECISION_TIME) < 0) {
            context.loop().after(MIN_DECISION_TIME, this::reconcile);
        }
        reconcile();
    }

    /** Serves, refills and refuses as far as possible now. Called after every event and by timers. */
    void reconcile() {
        reconcileQueued.set(false);
        BudgetPolicy policy = BudgetPolicy.of(allotment.budget(), context.blackboard());
        rate.setHorizon(policy.horizon());
        queue.serve(allotment);
        if (!calling && !context.now().isBefore(retryAt)) {
            callPlatform(policy);
        }
        if (queue.size() == 0) {
            transfers.reset();
        } else if (queue.totalTokens() > allotment.available() && platformCannotSupply()) {
            transfers.ask(shortfall(), Optional.ofNullable(snapshot));
        }
        int refused = queue.refuse(this::refusal);
        if (refused > 0) {
            context.metrics().counter("control.budgets.refused").inc(refused);
        }
        BudgetSnapshot current = snapshot;
        lowWater = current == null ? 0 : policy.lowWater(allotment, rate, current.record());
    }

    /** Returns the tokens that the smallest waiting request lacks, or 0 if none waits. */
    private long shortfall() {
        return Math.max(0, queue.smallestRequest() - Math.max(0, allotment.available()));
    }

    private boolean platformCannotSupply() {
        BudgetSnapshot current = snapshot;
        boolean slow = calling && callAge().compareTo(SLOW_CALL_THRESHOLD) >= 0;
        return health.isUnavailable()
                || slow
                || (current != null && current.record().free() <= 0);
    }

    private Duration callAge() {
        return Duration.between(callStartedAt, context.now());
    }

    private void callPlatform(BudgetPolicy policy) {
        BudgetSnapshot current = snapshot;
        if (closing != null) {
            close(current);
        } else if (allotment.state() == Allotment.State.CLOSED) {
            lowWater = 0;
        } else if (current == null || readRequired) {
            if (readRequired || (queue.size() > 0 && isRereadDue(absenceConfirmedAt))) {
                read();
            }
        } else {
            executeNextAction(current, policy);
        }
    }

    private void executeNextAction(BudgetSnapshot current, BudgetPolicy policy) {
        long need = queue.totalTokens();
        AllotmentAction action = policy.next(allotment, rate, need, current.record());
        if (action instanceof AllotmentAction.Take take && (need > 0 || take.tokens() >= rate.tokensPerSecond())) {
            allotment
                    .planTake(current.record(), take.tokens())
                    .ifPresentOrElse(update -> write(current, update), this::reread);
        } else if (action instanceof AllotmentAction.Return returned && (returned.tokens() > 0 || checkpointDue())) {
            checkpointAt = context.now();
            allotment.planReturn(current.record(), returned.tokens()).ifPresent(update -> write(current, update));
        } else if (need > allotment.available() && isRereadDue(current.observedAt())) {
            reread();
        }
    }

    private boolean isRereadDue(Instant at) {
        return Duration.between(at, context.now()).compareTo(REREAD_PERIOD) >= 0;
    }

    /** Reads the record unless it was read just before: a lagging replica can return the same old record again. */
    private void reread() {
        if (isRereadDue(readAt)) {
            read();
        }
    }

    private boolean checkpointDue() {
        return Duration.between(checkpointAt, context.now()).compareTo(CHECKPOINT_PERIOD) >= 0;
    }

    private void close(@Nullable BudgetSnapshot current) {
        if (current == null && !readRequired && allotment.counters().equals(HolderEntry.NONE)) {
            completeClose();
        } else if (current == null || readRequired) {
            read();
        } else {
            Optional<BudgetUpdate> update = allotment.planClose(current.record());
            if (update.isPresent()) {
                write(current, update.get());
            } else if (allotment.state() == Allotment.State.CLOSED) {
                completeClose();
            } else if (allotment.reserved() == 0) {
                read();
            }
        }
    }

    private void completeClose() {
        if (closing != null) {
            closing.complete(null);
        }
    }

    /** Returns all tokens and folds this router's holder entry; completes when the platform has confirmed it. */
    CompletableFuture<Void> close() {
        CompletableFuture<Void> done = closing;
        if (done == null) {
            done = new CompletableFuture<>();
            closing = done;
            reconcile();
        }
        return done;
    }

    private void callStarted() {
        calling = true;
        callStartedAt = context.now();
        if (queue.size() > 0) {
            context.loop().after(SLOW_CALL_THRESHOLD, this::reconcile);
        }
    }

    private void read() {
        callStarted();
        readAt = context.now();
        context.loop()
                .onDone(
                        context.platform().read(key).thenApply(v -> v.map(this::parse)),
                        value -> callSucceeded(() -> {
                            readRequired = false;
                            updateSnapshot(value);
                        }),
                        failure -> callFailed());
    }

    private BudgetSnapshot parse(VersionedValue value) {
        return BudgetSnapshot.of(value, context.now());
    }

    private void write(BudgetSnapshot base, BudgetUpdate update) {
        callStarted();
        context.count("budgets." + update.kind().name().toLowerCase(Locale.ROOT));
        context.loop()
                .onDone(
                        context.platform().write(key, base.version(), Json.tree(update.record())),
                        result -> written(update, result),
                        failure -> written(update, new WriteResult.Unknown(failure.toString())));
    }

    private void written(BudgetUpdate update, WriteResult result) {
        if (result instanceof WriteResult.Applied applied) {
            conflictBackoff.reset();
            callSucceeded(() ->
                    updateSnapshot(Optional.of(new BudgetSnapshot(update.record(), applied.version(), context.now()))));
        } else if (result instanceof WriteResult.Conflict conflict) {
            boolean again = conflictBackoff.isFailing();
            Duration delay = conflictBackoff.nextDelay();
            if (again) {
                // Without this delay, many routers that draw on one budget would keep conflicting.
                retryAt = context.now().plus(delay);
                context.loop().after(delay, this::reconcile);
            }
            callSucceeded(() -> updateSnapshot(conflict.current().map(this::parse)));
        } else {
            readRequired |= result instanceof WriteResult.Unknown;
            callFailed();
        }
    }

    private void callSucceeded(Runnable action) {
        calling = false;
        backoff.reset();
        health.succeeded();
        action.run();
        reconcile();
    }

    private void updateSnapshot(Optional<BudgetSnapshot> value) {
        if (value.isEmpty()) {
            absenceConfirmedAt = context.now();
            snapshot = null;
            return;
        }
        BudgetSnapshot newer = value.get();
        BudgetSnapshot current = snapshot;
        allotment.observe(newer.record(), newer.version());
        if (current == null || newer.version() >= current.version()) {
            snapshot = newer;
            absenceConfirmedAt = Instant.EPOCH;
        }
    }

    private void callFailed() {
        calling = false;
        health.failed();
        Duration delay = backoff.nextDelay();
        retryAt = context.now().plus(delay);
        context.loop().after(delay, this::reconcile);
        reconcile();
    }

    private Optional<Refusal> refusal(PendingReservation pending) {
        BudgetSnapshot current = snapshot;
        Instant now = context.now();
        if (closing != null) {
            return Optional.of(refusals.leaving());
        }
        if (allotment.state() == Allotment.State.CLOSED) {
            return Optional.of(refusals.released());
        }
        if (current == null && !absenceConfirmedAt.isBefore(pending.arrivedAt().minus(REREAD_PERIOD))) {
            return Optional.of(refusals.absent());
        }
        boolean recentlyRead = current != null
                && !current.observedAt().isBefore(pending.arrivedAt().minus(REREAD_PERIOD));
        boolean nothingFree =
                current != null && recentlyRead && current.record().free() <= 0;
        if (current != null && nothingFree && current.isFullySpent(allotment, context.incarnation())) {
            return Optional.of(refusals.exhausted());
        }
        if (nothingFree && queue.size() > MAX_WAITERS_WITHOUT_FREE) {
            return Optional.of(refusals.busy());
        }
        boolean roundWithoutGrant = transfers.endedWithoutGrant(pending.arrivedAt());
        if (nothingFree && !health.isUnavailable() && !transfers.mayCover(pending)) {
            return Optional.of(roundWithoutGrant ? refusals.exhausted() : refusals.busy());
        }
        if (now.isBefore(pending.deadline())) {
            return Optional.empty();
        }
        if (!(roundWithoutGrant && (nothingFree || health.isUnavailable()))
                && now.isBefore(pending.arrivedAt().plus(MIN_DECISION_TIME))) {
            return Optional.empty();
        }
        return Optional.of(nothingFree && roundWithoutGrant ? refusals.exhausted() : refusals.busy());
    }

    /** Returns whether the record exists or this router ever held tokens of it. */
    boolean isKnown() {
        return snapshot != null || !allotment.isUnused();
    }

    /** Returns whether the account may be dropped: nothing was taken and no call or request is open. */
    boolean isUnused() {
        boolean open = calling || readRequired || closing != null || queue.size() > 0;
        return !open && !isKnown() && !transfers.mayReceive() && rate.idleTime().compareTo(UNUSED_ACCOUNT_TTL) >= 0;
    }

    /** Debits tokens for a peer; the grant is 0 if there are none or this router's requests need them more. */
    TransferGrant grantTransfer(String transferId, long tokens) {
        if (closing != null || !transfers.shouldGrant(shortfall(), tokens)) {
            return new TransferGrant(transferId, allotment.budget(), 0);
        }
        return allotment.sendTransfer(transferId, tokens).orElse(new TransferGrant(transferId, allotment.budget(), 0));
    }

    /** Returns the tokens that this router has available or reserved. */
    long held() {
        return Math.max(0, allotment.available() + allotment.reserved());
    }

    /** Credits tokens granted by a peer, which also reports the tokens that it still holds. */
    void receiveGrant(TransferGrant grant, @Nullable Long heldByPeer) {
        transfers.receiveGrant(grant, heldByPeer);
        reconcile();
    }
}
