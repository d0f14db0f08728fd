package io.hornbeamfield.core.budget;

import io.hornbeamfield.core.budget.AllotmentAction.Nothing;
import io.hornbeamfield.core.budget.AllotmentAction.Return;
import io.hornbeamfield.core.budget.AllotmentAction.Take;
import java.time.Duration;

/**
 * Decides what a router does next for one budget.
 *
 * <pre>{@code
 * AllotmentPlanner planner = new AllotmentPlanner(
 *         SliceSizers.demandProportional(horizon, maxShareOfFree), idleReturn);
 * AllotmentAction action = planner.next(allotment, demandRate, waitingTokens, lastSeen, liveRouters);
 * }</pre>
 */
public final class AllotmentPlanner {
    private final SliceSizer sizer;
    private final Duration idleReturn;

    /** Creates a planner for the preset and workspace in force. */
    public AllotmentPlanner(SliceSizer sizer, Duration idleReturn) {
        this.sizer = sizer;
        this.idleReturn = idleReturn;
    }

    /**
     * Returns the next action. The need is the number of tokens that the waiting requests reserve together; it is taken
     * even when the target is smaller.
     */
    public AllotmentAction next(Allotment allotment, DemandRate rate, long need, BudgetRecord seen, int liveRouters) {
        long available = allotment.available();
        var demand = new SliceDemand(rate.tokensPerSecond(), need, available, seen.free(), seen.granted(), liveRouters);
        long target = sizer.target(demand);
        if (need == 0 && rate.idleTime().compareTo(idleReturn) >= 0) {
            return available > 0 || allotment.hasUnrecordedMoves() ? new Return(Math.max(0, available)) : new Nothing();
        }
        long missing = target - available;
        if (seen.free() > 0 && missing > 0 && (available < need || available < target / 2)) {
            return new Take(Math.min(missing, seen.free()));
        }
        if (need == 0 && available > 2 * target) {
            return new Return(available - target);
        }
        return allotment.hasUnrecordedMoves() ? new Return(0) : new Nothing();
    }
}
