package io.hornbeamfield.core.prepaid;

import java.util.TreeMap;

/** The part of one workspace's total that one instance holds. Not thread-safe. */
final class PrepaidAccount {
    /** Demand that a transfer to an instance that is not a holder covers in addition, in seconds. */
    private static final double TRANSFER_COVERAGE_SECONDS = 1.5;

    /** Number of transfers of more than the missing amount that a holding must be able to make. */
    private static final long MIN_TRANSFERS_PER_HOLDING = 32;

    /** Number of direct takes of more than the smallest missing amount that the untaken tokens must allow. */
    private static final long MIN_DIRECT_TAKES = 64;

    /** An offer below this part of the wanted amount is not made, as it would only prolong the search for tokens. */
    private static final long MIN_OFFER_DIVISOR = 4;

    private final DemandEstimate demand = new DemandEstimate();
    private boolean ledgerKnown;
    private long total;
    private long totalTaken;
    private long confirmedTaken;
    private long unconfirmedFloor = Long.MAX_VALUE;
    private long received;
    private long transferred;
    private long used;
    private long reserved;
    private long waiting;
    private boolean directTakeAllowed;
    private final TreeMap<Long, Integer> waitingBySize = new TreeMap<>();

    void total(long tokens) {
        total = tokens;
    }

    long total() {
        return total;
    }

    /** Returns whether a ledger has been observed; before, nothing may be taken, as others may have taken all. */
    boolean isLedgerKnown() {
        return ledgerKnown;
    }

    /** Returns the tokens that no holder has taken, as of the last observed ledger; all if none was observed. */
    long untaken() {
        return Math.max(0, total - totalTaken);
    }

    /** Returns the most that this instance could hold; taking and returning tokens do not change it. */
    long available() {
        return untaken() + Math.max(0, free());
    }

    void applyLedger(long allTaken, long ownTaken, boolean writesResolved, long nowMs) {
        ledgerKnown = true;
        totalTaken = allTaken;
        confirmedTaken = ownTaken;
        demand.updateTotalTaken(allTaken, nowMs);
        if (writesResolved) {
            unconfirmedFloor = Long.MAX_VALUE;
        }
    }

    /**
     * Records a write of unknown outcome. Until it is resolved, a return counts as applied and a take as not applied.
     */
    void recordPendingWrite(long proposedTaken) {
        unconfirmedFloor = Math.min(unconfirmedFloor, proposedTaken);
    }

    long free() {
        return certainlyTaken() + received - transferred - used - reserved;
    }

    /** Returns the tokens that this instance has taken and not returned, whatever the outcome of pending writes. */
    long certainlyTaken() {
        return Math.min(confirmedTaken, unconfirmedFloor);
    }

    long confirmedTaken() {
        return confirmedTaken;
    }

    /** Returns the tokens that this instance has consumed of its own takes: used, reserved and net transferred. */
    long net() {
        return used + reserved + transferred - received;
    }

    boolean tryReserve(long tokens, long limit, long nowMs) {
        if (free() < tokens || net() + tokens > limit) {
            return false;
        }
        reserved += tokens;
        demand.recordUse(tokens, nowMs);
        return true;
    }

    void settle(long reservedTokens, long usedTokens) {
        reserved -= reservedTokens;
        used += usedTokens;
    }

    /**
     * Transfers tokens to another instance; in the ledger they stay taken by this one. If the holding does not cover
     * the request, at most half of it is transferred.
     */
    long transfer(long wanted, long limit) {
        long free = Math.max(0, free());
        long amount = Math.max(Math.min(free, wanted), free / 2);
        if (free < wanted) {
            amount = free / 2;
        }
        return transferWithin(amount, limit);
    }

    /** Like {@link #transfer}, but offers nothing if it could only offer a small part of the wanted amount. */
    long transferUseful(long wanted, long limit) {
        boolean useful = Math.max(0, free()) / 2 >= wanted / MIN_OFFER_DIVISOR;
        return useful ? transfer(wanted, limit) : 0;
    }

    /**
     * Transfers the full amount or nothing to an instance that is not a holder, and counts it as demand here. A partial
     * amount would serve no request there and would be missing for a smaller one. While this holding is plentiful, the
     * preferred amount is transferred, so that the instance does not need a round trip for each of its next requests.
     */
    long transferForUse(long wanted, long preferred, long limit, int holders, long nowMs) {
        boolean covered = free() >= wanted && (limit == Long.MAX_VALUE || net() + wanted <= limit);
        long extended = Math.min(preferred, free() / MIN_TRANSFERS_PER_HOLDING);
        long amount = covered ? transferWithin(Math.max(wanted, extended), limit) : 0;
        // The instance asks the other holders as well, so that a refused request counts once in all.
        demand.recordUse(covered ? amount : wanted / holders, nowMs);
        return amount;
    }

    private long transferWithin(long tokens, long limit) {
        long amount = Math.max(0, Math.min(tokens, limit == Long.MAX_VALUE ? tokens : limit - net()));
        transferred += amount;
        return amount;
    }

    void receiveTransfer(long tokens) {
        received += tokens;
    }

    void startWaiting(long tokens) {
        waiting += tokens;
        waitingBySize.merge(tokens, 1, Integer::sum);
    }

    void stopWaiting(long tokens) {
        waiting -= tokens;
        waitingBySize.computeIfPresent(tokens, (size, count) -> count == 1 ? null : count - 1);
        directTakeAllowed &= !waitingBySize.isEmpty();
    }

    /** Allows an instance that is not a holder to take tokens from the ledger for the requests that are waiting now. */
    void allowDirectTake() {
        directTakeAllowed = !waitingBySize.isEmpty();
    }

    /**
     * Returns the change to the taken tokens of an instance that is not a holder. A direct take covers all waiting
     * requests and the next ones, since each take competes with the writes of all other instances.
     */
    long changeForNonHolder(long nowMs) {
        if (waitingBySize.isEmpty()) {
            return -Math.max(0, Math.min(free(), confirmedTaken));
        }
        long shortfall = shortfall();
        if (shortfall == 0 || !directTakeAllowed || shortfall > untaken()) {
            return 0;
        }
        return Math.max(shortfall, Math.min(preferredTransfer(totalShortfall(), nowMs), untaken() / MIN_DIRECT_TAKES));
    }

    long waiting() {
        return waiting;
    }

    /** Returns the tokens that the smallest waiting request lacks, 0 if none is waiting. */
    long shortfall() {
        return waitingBySize.isEmpty() ? 0 : Math.max(0, waitingBySize.firstKey() - free());
    }

    /** Returns the tokens that all waiting requests together lack, 0 if none is waiting. */
    long totalShortfall() {
        return waitingBySize.isEmpty() ? 0 : Math.max(0, waiting - Math.max(0, free()));
    }

    /**
     * Returns a limit that admits the waiting requests, plus headroom. It is never negative, although the use of an
     * instance that received more than it used is: a witness that was told no limit counts as knowing 0.
     */
    long proposedLimit(long extra) {
        double headroom = total * HoldingPolicy.LIMIT_HEADROOM_SHARE;
        return Math.max(0, net() + waiting + extra + (long) headroom);
    }

    /** Returns whether a waiting request is covered by the holding but exceeds the witnessed limit. */
    boolean needsHigherLimit(long limit) {
        return !waitingBySize.isEmpty() && shortfall() == 0 && net() + waitingBySize.firstKey() > limit;
    }

    /** Returns what this instance knows of the total, to size its holding. */
    HoldingSizer.Holding holding(long nowMs, int holders) {
        return new HoldingSizer.Holding(demand.perSecond(nowMs, holders), untaken(), free(), total);
    }

    /** Returns the tokens that an instance which is not a holder should receive, to serve its next requests as well. */
    long preferredTransfer(long missing, long nowMs) {
        return missing + (long) (demand.localPerSecond(nowMs) * TRANSFER_COVERAGE_SECONDS);
    }

    /** Returns the total, the untaken tokens and the free tokens held here, for the log. */
    String summary() {
        return total + "/" + untaken() + "/" + free();
    }

    /** Describes this account for the log. */
    String describe() {
        return "untaken " + (ledgerKnown ? untaken() : "unknown") + ", free " + free() + ", waiting " + waiting
                + ", missing " + shortfall() + ", used net " + net();
    }
}
