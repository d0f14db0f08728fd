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
    /** Shortest time between two looks at a record that has nothing free; a top-up is seen within this time. */
    private static final Duration LOOK_PERIOD = Duration.ofMillis(250);
    /** Time in which the platform and a round of peers answer, granted also to requests that may not wait. */
    private static final Duration DECISION_TIME = Duration.ofMillis(500);
    /** A platform call without an answer for this long no longer keeps waiting requests from asking peers. */
    private static final Duration SLOW_CALL = Duration.ofMillis(300);

    private static final Duration CHECKPOINT_PERIOD = Duration.ofSeconds(10);
    /** Requests beyond this number are refused at once while nothing is free, so that they do not occupy the router. */
    private static final int MAX_WAITERS_WITHOUT_FREE = 64;

    /** Keeps the answer that a budget does not exist for repeated requests. */
    static final Duration UNUSED_AFTER = Duration.ofSeconds(10);

    private final ControlContext context;
    private final PlatformHealth health;
    private final Allotment allotment;
    private final String key;
    private final BudgetRefusals refusals;
    private final DemandRate rate;
    private final BudgetQueue queue = new BudgetQueue();
    private final TransferRound transfers;
    private final AtomicBoolean stepQueued = new AtomicBoolean();
    private final Backoff backoff = new Backoff(Duration.ofMillis(100), Duration.ofSeconds(2));
    private final Backoff conflicts = new Backoff(Duration.ofMillis(5), Duration.ofMillis(200));
    private volatile long lowWater;
    private @Nullable SeenBudget seen;
    private Instant absentAt = Instant.EPOCH;
    private Instant readAt = Instant.EPOCH;
    private Instant callStartedAt = Instant.EPOCH;
    private Instant retryAt = Instant.EPOCH;
    private Instant checkpointAt;
    private boolean calling;
    private boolean mustRead;
    private @Nullable CompletableFuture<Void> closed;

    BudgetAccount(ControlContext context, PeerHub peers, PlatformHealth health, String budget) {
        this.context = context;
        this.health = health;
        this.allotment = new Allotment(budget, context.incarnation());
        this.key = SeenBudget.PREFIX + budget;
        this.refusals = new BudgetRefusals(budget);
        this.rate = DemandRate.forHorizon(
                context.loop().clock(),
                BudgetPolicy.of(budget, context.blackboard()).horizon());
        this.checkpointAt = context.now();
        this.transfers = new TransferRound(context, peers, allotment, this::step);
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
                queueStep();
            }
            return CompletableFuture.completedFuture(Result.ok(reservation.get()));
        }
        CompletableFuture<Result<Reservation>> answer = new CompletableFuture<>();
        Instant now = context.now();
        BudgetWaiter waiter = new BudgetWaiter(tokens, now, now.plus(wait), answer);
        context.loop().execute(() -> await(waiter, wait));
        return answer;
    }

    void settle(Reservation reservation, long spentTokens) {
        allotment.settle(reservation, spentTokens);
        if (queue.size() > 0 || allotment.state() == Allotment.State.CLOSING) {
            queueStep();
        }
    }

    private void queueStep() {
        if (stepQueued.compareAndSet(false, true)) {
            context.loop().execute(this::step);
        }
    }

    private void await(BudgetWaiter waiter, Duration wait) {
        queue.add(waiter);
        context.loop().after(wait, this::step);
        if (wait.compareTo(DECISION_TIME) < 0) {
            context.loop().after(DECISION_TIME, this::step);
        }
        step();
    }

    /** Does what is possible now. Called again after every event and by timers. */
    void step() {
        stepQueued.set(false);
        BudgetPolicy policy = BudgetPolicy.of(allotment.budget(), context.blackboard());
        rate.setHorizon(policy.horizon());
        queue.serve(allotment);
        if (!calling && !context.now().isBefore(retryAt)) {
            callPlatform(policy);
        }
        if (queue.size() == 0) {
            transfers.satisfied();
        } else if (queue.need() > allotment.available() && platformCannotHelp()) {
            transfers.ask(lack(), Optional.ofNullable(seen));
        }
        int refused = queue.refuse(this::refusal);
        if (refused > 0) {
            context.metrics().counter("control.budgets.refused").inc(refused);
        }
        SeenBudget s = seen;
        lowWater = s == null ? 0 : policy.lowWater(allotment, rate, s.record());
    }

    /** Returns what the smallest waiting request lacks, 0 if none waits. */
    private long lack() {
        return Math.max(0, queue.smallest() - Math.max(0, allotment.available()));
    }

    private boolean platformCannotHelp() {
        SeenBudget s = seen;
        boolean slow = calling && callAge().compareTo(SLOW_CALL) >= 0;
        return health.isAway() || slow || (s != null && s.record().free() <= 0);
    }

    private Duration callAge() {
        return Duration.between(callStartedAt, context.now());
    }

    private void callPlatform(BudgetPolicy policy) {
        SeenBudget s = seen;
        if (closed != null) {
            close(s);
        } else if (allotment.state() == Allotment.State.CLOSED) {
            lowWater = 0;
        } else if (s == null || mustRead) {
            if (mustRead || (queue.size() > 0 && isOld(absentAt))) {
                read();
            }
        } else {
            act(s, policy);
        }
    }

    private void act(SeenBudget s, BudgetPolicy policy) {
        long need = queue.need();
        AllotmentAction action = policy.next(allotment, rate, need, s.record());
        if (action instanceof AllotmentAction.Take take && (need > 0 || take.tokens() >= rate.tokensPerSecond())) {
            allotment.planTake(s.record(), take.tokens()).ifPresentOrElse(u -> write(s, u), this::look);
        } else if (action instanceof AllotmentAction.Return back && (back.tokens() > 0 || checkpointDue())) {
            checkpointAt = context.now();
            allotment.planReturn(s.record(), back.tokens()).ifPresent(u -> write(s, u));
        } else if (need > allotment.available() && isOld(s.at())) {
            look();
        }
    }

    private boolean isOld(Instant at) {
        return Duration.between(at, context.now()).compareTo(LOOK_PERIOD) >= 0;
    }

    /** Reads the record, unless it was read a moment ago: a lagging copy can show the same old record again. */
    private void look() {
        if (isOld(readAt)) {
            read();
        }
    }

    private boolean checkpointDue() {
        return Duration.between(checkpointAt, context.now()).compareTo(CHECKPOINT_PERIOD) >= 0;
    }

    private void close(@Nullable SeenBudget s) {
        if (s == null && !mustRead && allotment.counters().equals(HolderEntry.NONE)) {
            closeDone();
        } else if (s == null || mustRead) {
            read();
        } else {
            Optional<BudgetUpdate> update = allotment.planClose(s.record());
            if (update.isPresent()) {
                write(s, update.get());
            } else if (allotment.state() == Allotment.State.CLOSED) {
                closeDone();
            } else if (allotment.reserved() == 0) {
                read();
            }
        }
    }

    private void closeDone() {
        if (closed != null) {
            closed.complete(null);
        }
    }

    /** Returns everything and folds the own entry; completes when the platform confirmed it. */
    CompletableFuture<Void> close() {
        CompletableFuture<Void> done = closed;
        if (done == null) {
            done = new CompletableFuture<>();
            closed = done;
            step();
        }
        return done;
    }

    private void called() {
        calling = true;
        callStartedAt = context.now();
        if (queue.size() > 0) {
            context.loop().after(SLOW_CALL, this::step);
        }
    }

    private void read() {
        called();
        readAt = context.now();
        context.loop()
                .onDone(
                        context.platform().read(key).thenApply(v -> v.map(this::parse)),
                        value -> answered(() -> {
                            mustRead = false;
                            confirmed(value);
                        }),
                        failure -> failed());
    }

    private SeenBudget parse(VersionedValue value) {
        return SeenBudget.of(value, context.now());
    }

    private void write(SeenBudget base, BudgetUpdate update) {
        called();
        context.count("budgets." + update.kind().name().toLowerCase(Locale.ROOT));
        context.loop()
                .onDone(
                        context.platform().write(key, base.version(), Json.tree(update.record())),
                        result -> written(update, result),
                        failure -> written(update, new WriteResult.Unknown(failure.toString())));
    }

    private void written(BudgetUpdate update, WriteResult result) {
        if (result instanceof WriteResult.Applied applied) {
            conflicts.succeeded();
            answered(() -> confirmed(Optional.of(new SeenBudget(update.record(), applied.version(), context.now()))));
        } else if (result instanceof WriteResult.Conflict conflict) {
            boolean again = conflicts.isFailing();
            Duration delay = conflicts.failed();
            if (again) {
                // Many routers that draw on one budget would otherwise collide again and again.
                retryAt = context.now().plus(delay);
                context.loop().after(delay, this::step);
            }
            answered(() -> confirmed(conflict.current().map(this::parse)));
        } else {
            mustRead |= result instanceof WriteResult.Unknown;
            failed();
        }
    }

    private void answered(Runnable action) {
        calling = false;
        backoff.succeeded();
        health.succeeded();
        action.run();
        step();
    }

    private void confirmed(Optional<SeenBudget> value) {
        if (value.isEmpty()) {
            absentAt = context.now();
            seen = null;
            return;
        }
        SeenBudget newer = value.get();
        SeenBudget s = seen;
        allotment.observe(newer.record(), newer.version());
        if (s == null || newer.version() >= s.version()) {
            seen = newer;
            absentAt = Instant.EPOCH;
        }
    }

    private void failed() {
        calling = false;
        health.failed();
        Duration delay = backoff.failed();
        retryAt = context.now().plus(delay);
        context.loop().after(delay, this::step);
        step();
    }

    private Optional<Refusal> refusal(BudgetWaiter waiter) {
        SeenBudget s = seen;
        Instant now = context.now();
        if (closed != null) {
            return Optional.of(refusals.leaving());
        }
        if (allotment.state() == Allotment.State.CLOSED) {
            return Optional.of(refusals.released());
        }
        if (s == null && !absentAt.isBefore(waiter.arrivedAt().minus(LOOK_PERIOD))) {
            return Optional.of(refusals.absent());
        }
        boolean looked = s != null && !s.at().isBefore(waiter.arrivedAt().minus(LOOK_PERIOD));
        boolean nothingFree = s != null && looked && s.record().free() <= 0;
        if (s != null && nothingFree && s.isHeldByNobody(allotment, context.incarnation())) {
            return Optional.of(refusals.exhausted());
        }
        if (nothingFree && queue.size() > MAX_WAITERS_WITHOUT_FREE) {
            return Optional.of(refusals.busy());
        }
        boolean emptyRound = transfers.cameBackEmpty(waiter.arrivedAt());
        if (nothingFree && !health.isAway() && !transfers.mayCover(waiter)) {
            return Optional.of(emptyRound ? refusals.exhausted() : refusals.busy());
        }
        if (now.isBefore(waiter.deadline())) {
            return Optional.empty();
        }
        if (!(emptyRound && (nothingFree || health.isAway()))
                && now.isBefore(waiter.arrivedAt().plus(DECISION_TIME))) {
            return Optional.empty();
        }
        return Optional.of(nothingFree && emptyRound ? refusals.exhausted() : refusals.busy());
    }

    /** Returns whether the record exists or something was held here. */
    boolean isKnown() {
        return seen != null || !allotment.isUnused();
    }

    /** Returns whether the account may be forgotten: nothing was taken and no call or request is open. */
    boolean isUnused() {
        boolean open = calling || mustRead || closed != null || queue.size() > 0;
        return !open && !isKnown() && !transfers.mayReceive() && rate.idleTime().compareTo(UNUSED_AFTER) >= 0;
    }

    /** Debits tokens for a peer; returns a grant of 0 tokens if there are none or own requests need them more. */
    TransferGrant give(String transferId, long tokens) {
        if (closed != null || !transfers.gives(lack(), tokens)) {
            return new TransferGrant(transferId, allotment.budget(), 0);
        }
        return allotment.sendTransfer(transferId, tokens).orElse(new TransferGrant(transferId, allotment.budget(), 0));
    }

    /** Returns the tokens that this router has available or reserved. */
    long held() {
        return Math.max(0, allotment.available() + allotment.reserved());
    }

    /** Credits tokens of a peer, which states what it still holds. */
    void granted(TransferGrant grant, @Nullable Long heldByPeer) {
        transfers.granted(grant, heldByPeer);
        step();
    }
}
