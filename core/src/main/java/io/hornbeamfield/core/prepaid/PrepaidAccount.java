package io.hornbeamfield.core.prepaid;

import java.util.TreeMap;

/** What one instance holds of one workspace's total. Not thread-safe. */
final class PrepaidAccount {
    private final DemandEstimate demand = new DemandEstimate();
    private long total;
    private long takenByAll;
    private long confirmedTaken;
    private long unconfirmedFloor = Long.MAX_VALUE;
    private long received;
    private long given;
    private long used;
    private long reserved;
    private long waiting;
    private boolean takesDirectly;
    private final TreeMap<Long, Integer> waitingSizes = new TreeMap<>();

    void total(long tokens) {
        total = tokens;
    }

    long total() {
        return total;
    }

    /** Returns the tokens that nobody has taken, as of the last ledger that was seen. */
    long untaken() {
        return Math.max(0, total - takenByAll);
    }

    /** Returns what this instance could hold at most; taking and giving back leave it as it is. */
    long available() {
        return untaken() + Math.max(0, free());
    }

    void applyLedger(long allTaken, long ownTaken, boolean writesResolved, long nowMs) {
        takenByAll = allTaken;
        confirmedTaken = ownTaken;
        demand.takenByAll(allTaken, nowMs);
        if (writesResolved) {
            unconfirmedFloor = Long.MAX_VALUE;
        }
    }

    /** A give-back whose outcome is not known counts as done, a take whose outcome is not known as not done. */
    void writing(long proposedTaken) {
        unconfirmedFloor = Math.min(unconfirmedFloor, proposedTaken);
    }

    long free() {
        return Math.min(confirmedTaken, unconfirmedFloor) + received - given - used - reserved;
    }

    long confirmedTaken() {
        return confirmedTaken;
    }

    /** Returns what this instance uses of its own takes. */
    long net() {
        return used + reserved + given - received;
    }

    boolean tryReserve(long tokens, long limit, long nowMs) {
        if (free() < tokens || net() + tokens > limit) {
            return false;
        }
        reserved += tokens;
        demand.used(tokens, nowMs);
        return true;
    }

    void settle(long reservedTokens, long usedTokens) {
        reserved -= reservedTokens;
        used += usedTokens;
    }

    /**
     * Hands tokens to another instance; they stay taken by this one in the ledger. At least half of a holding that does
     * not cover the wish stays here.
     */
    long transfer(long wanted, long limit) {
        long free = Math.max(0, free());
        long amount = Math.max(Math.min(free, wanted), free / 2);
        if (free < wanted) {
            amount = free / 2;
        }
        return giveWithin(amount, limit);
    }

    /**
     * Hands over what is wanted, to an instance that holds nothing; what it uses counts as demand here. A part of it
     * would serve no request there and would be missing for a smaller one.
     */
    long transferForUse(long wanted, long limit, long nowMs) {
        boolean covered = free() >= wanted && (limit == Long.MAX_VALUE || net() + wanted <= limit);
        long amount = covered ? giveWithin(wanted, limit) : 0;
        demand.used(amount, nowMs);
        return amount;
    }

    private long giveWithin(long tokens, long limit) {
        long amount = Math.max(0, Math.min(tokens, limit == Long.MAX_VALUE ? tokens : limit - net()));
        given += amount;
        return amount;
    }

    void receiveTransfer(long tokens) {
        received += tokens;
    }

    void startWaiting(long tokens) {
        waiting += tokens;
        waitingSizes.merge(tokens, 1, Integer::sum);
    }

    void stopWaiting(long tokens) {
        waiting -= tokens;
        waitingSizes.computeIfPresent(tokens, (size, count) -> count == 1 ? null : count - 1);
        takesDirectly &= !waitingSizes.isEmpty();
    }

    /** Lets an instance that holds nothing take what the requests need that wait now. */
    void allowDirectTake() {
        takesDirectly = !waitingSizes.isEmpty();
    }

    /** Returns the change of what an instance has taken that is to hold nothing. */
    long changeWithoutHolding() {
        if (waitingSizes.isEmpty()) {
            return -Math.max(0, Math.min(free(), confirmedTaken));
        }
        long missing = shortfall();
        return takesDirectly && missing <= untaken() ? missing : 0;
    }

    long waiting() {
        return waiting;
    }

    /** Returns the tokens that are missing for the smallest request that waits, 0 if none waits. */
    long shortfall() {
        return waitingSizes.isEmpty() ? 0 : Math.max(0, waitingSizes.firstKey() - free());
    }

    /** Returns the tokens that are missing for all requests that wait, 0 if none waits. */
    long totalShortfall() {
        return waitingSizes.isEmpty() ? 0 : Math.max(0, waiting - Math.max(0, free()));
    }

    /**
     * Returns a limit that lets the requests that wait start, and some more. It is never negative, although an instance
     * that received more than it used has a negative use: a witness that was told nothing counts as knowing 0.
     */
    long proposedLimit(long extra) {
        double ahead = total * HoldingPolicy.LIMIT_AHEAD_SHARE;
        return Math.max(0, net() + waiting + extra + (long) ahead);
    }

    /** Returns whether a request waits that the holdings cover and the limit does not. */
    boolean needsHigherLimit(long limit) {
        return !waitingSizes.isEmpty() && shortfall() == 0 && net() + waitingSizes.firstKey() > limit;
    }

    long target(long nowMs, int instances) {
        return HoldingPolicy.target(demand.perSecond(nowMs, instances), available(), total, instances);
    }
}
