package io.hornbeamfield.core.prepaid;

/**
 * Decides how many tokens of a total an instance takes or returns with its next write to the ledger.
 *
 * @param holder whether the instance holds parts of the totals
 * @param holders number of instances that do
 * @param sizer decides how many tokens a holder needs
 */
record HoldingChange(boolean holder, int holders, HoldingSizer sizer) {
    /**
     * Returns the number of tokens to take (positive) or to return (negative).
     *
     * @param refill whether a holding that is not full is refilled although nothing is missing
     */
    long tokens(PrepaidAccount account, long nowMs, boolean refill) {
        if (!account.isLedgerKnown()) {
            return 0;
        }
        if (!holder) {
            return account.changeForNonHolder(nowMs);
        }
        HoldingSizer.Holding holding = account.holding(nowMs, holders);
        long target = sizer.target(holding, holders);
        long shortfall = account.shortfall();
        long excess = account.waiting() > 0 ? 0 : sizer.excess(holding, target, holders);
        if (excess > 0) {
            return -excess;
        }
        boolean due = shortfall > 0 || refill || HoldingPolicy.needsRefill(account.free(), target);
        if (!due || shortfall > account.untaken()) {
            return 0;
        }
        long wanted = Math.max(shortfall, account.waiting() + target - account.free());
        return Math.min(wanted, Math.max(shortfall, account.untaken()));
    }
}
