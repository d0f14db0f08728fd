package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.budget.Allotment;
import io.hornbeamfield.core.budget.AllotmentAction;
import io.hornbeamfield.core.budget.AllotmentPlanner;
import io.hornbeamfield.core.budget.BudgetRecord;
import io.hornbeamfield.core.budget.DemandRate;
import io.hornbeamfield.core.budget.SliceDemand;
import io.hornbeamfield.core.budget.SliceSizer;
import io.hornbeamfield.core.budget.SliceSizers;
import io.hornbeamfield.core.config.ConfigSnapshot;
import io.hornbeamfield.core.config.Preset;
import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.router.Blackboard;
import java.time.Duration;

/** The rules of the preset in force for one budget. */
record BudgetPolicy(SliceSizer sizer, AllotmentPlanner planner, Duration idleReturn, int liveRouters) {

    /** Returns the rules now; before a configuration is adopted, nothing is held beyond the need. */
    static BudgetPolicy of(String budget, Blackboard blackboard) {
        int live = (int) blackboard.routers().stream()
                .filter(r -> r.state() == ServerState.LIVE)
                .count();
        if (blackboard.config().isEmpty()) {
            SliceSizer none = SliceSizers.fixed(0);
            Duration never = Duration.ofDays(1);
            return new BudgetPolicy(none, new AllotmentPlanner(none, never), never, Math.max(1, live));
        }
        ConfigSnapshot config = blackboard.config().get();
        Preset preset = config.preset();
        String workspace = budget.split(":", 2)[0];
        long horizon = config.workspace(workspace)
                .flatMap(w -> w.allotmentHorizonSeconds())
                .orElse(preset.allotmentHorizonSeconds());
        SliceSizer sizer = SliceSizers.demandProportional(Duration.ofSeconds(horizon), preset.maxShareOfFree());
        Duration idleReturn = Duration.ofSeconds(preset.idleReturnSeconds());
        return new BudgetPolicy(sizer, new AllotmentPlanner(sizer, idleReturn), idleReturn, Math.max(1, live));
    }

    /** Returns the next action for an allotment. */
    AllotmentAction next(Allotment allotment, DemandRate rate, long need, BudgetRecord seen) {
        AllotmentAction action = planner.next(allotment, rate, need, seen, liveRouters);
        if (action instanceof AllotmentAction.Return back && back.tokens() > 0) {
            return surplus(back, allotment, rate, seen);
        }
        return action;
    }

    /**
     * With nothing free the target is 0, and a router under demand would return everything that it holds, only to take
     * it again. What it would aim for after returning everything is kept.
     */
    private AllotmentAction surplus(
            AllotmentAction.Return back, Allotment allotment, DemandRate rate, BudgetRecord seen) {
        if (rate.idleTime().compareTo(idleReturn) >= 0) {
            return back;
        }
        long available = allotment.available();
        long keep = target(rate, 0, seen.free() + available, seen.granted());
        return new AllotmentAction.Return(available > 2 * keep ? Math.min(back.tokens(), available - keep) : 0);
    }

    /** Returns the available balance below which a refill is planned, 0 if nothing is free. */
    long lowWater(Allotment allotment, DemandRate rate, BudgetRecord seen) {
        return seen.free() <= 0 ? 0 : target(rate, allotment.available(), seen.free(), seen.granted()) / 2;
    }

    /** Returns the number of tokens to aim for. */
    long target(DemandRate rate, long available, long free, long granted) {
        return sizer.target(new SliceDemand(rate.tokensPerSecond(), 0, available, free, granted, liveRouters));
    }
}
