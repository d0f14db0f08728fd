package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.budget.Allotment;
import io.hornbeamfield.core.budget.AllotmentAction;
import io.hornbeamfield.core.budget.AllotmentPlanner;
import io.hornbeamfield.core.budget.BudgetRecord;
import io.hornbeamfield.core.budget.DemandRate;
import io.hornbeamfield.core.budget.SizingInput;
import io.hornbeamfield.core.budget.SliceSizer;
import io.hornbeamfield.core.budget.SliceSizers;
import io.hornbeamfield.core.config.ConfigSnapshot;
import io.hornbeamfield.core.config.Preset;
import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.router.Blackboard;
import java.time.Duration;

/** The allotment rules for one budget under the active preset. */
record BudgetPolicy(SliceSizer sizer, AllotmentPlanner planner, Duration horizon, int liveRouters) {
    /** Affects the demand rate only: without a configuration no slice is taken. */
    private static final Duration DEFAULT_HORIZON = Duration.ofSeconds(60);

    /**
     * Returns the current rules. Before a configuration is adopted, nothing is held beyond the tokens that waiting
     * requests need.
     */
    static BudgetPolicy of(String budget, Blackboard blackboard) {
        int liveRouters = (int) blackboard.routers().stream()
                .filter(r -> r.state() == ServerState.LIVE)
                .count();
        if (blackboard.config().isEmpty()) {
            SliceSizer none = SliceSizers.fixed(0);
            Duration never = Duration.ofDays(1);
            AllotmentPlanner planner = new AllotmentPlanner(none, never);
            return new BudgetPolicy(none, planner, DEFAULT_HORIZON, Math.max(1, liveRouters));
        }
        ConfigSnapshot config = blackboard.config().get();
        Preset preset = config.preset();
        String workspace = budget.split(":", 2)[0];
        long seconds = config.workspace(workspace)
                .flatMap(w -> w.allotmentHorizonSeconds())
                .orElse(preset.allotmentHorizonSeconds());
        Duration horizon = Duration.ofSeconds(seconds);
        SliceSizer sizer = SliceSizers.demandProportional(horizon, preset.maxShareOfFree());
        Duration idleReturn = Duration.ofSeconds(preset.idleReturnSeconds());
        return new BudgetPolicy(sizer, new AllotmentPlanner(sizer, idleReturn), horizon, Math.max(1, liveRouters));
    }

    /** Returns the next action for an allotment. */
    AllotmentAction next(Allotment allotment, DemandRate rate, long need, BudgetRecord record) {
        return planner.nextAction(allotment, rate, need, record, liveRouters);
    }

    /** Returns the available balance below which a refill is planned, or 0 if the record has no free tokens. */
    long lowWater(Allotment allotment, DemandRate rate, BudgetRecord record) {
        if (record.free() <= 0) {
            return 0;
        }
        var demand = new SizingInput(
                rate.tokensPerSecond(), 0, allotment.available(), record.free(), record.granted(), liveRouters);
        return (long) (sizer.target(demand) * AllotmentPlanner.REFILL_THRESHOLD);
    }
}
