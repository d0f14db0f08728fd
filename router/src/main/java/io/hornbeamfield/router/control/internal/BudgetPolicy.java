package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.budget.AllotmentPlanner;
import io.hornbeamfield.core.budget.SliceSizer;
import io.hornbeamfield.core.budget.SliceSizers;
import io.hornbeamfield.core.config.ConfigSnapshot;
import io.hornbeamfield.core.config.Preset;
import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.router.Blackboard;
import java.time.Duration;

/** The rules of the preset in force for one budget. */
record BudgetPolicy(SliceSizer sizer, AllotmentPlanner planner, int liveRouters) {

    /** Returns the rules now; before a configuration is adopted, nothing is held beyond the need. */
    static BudgetPolicy of(String budget, Blackboard blackboard) {
        int live = (int) blackboard.routers().stream()
                .filter(r -> r.state() == ServerState.LIVE)
                .count();
        if (blackboard.config().isEmpty()) {
            SliceSizer none = SliceSizers.fixed(0);
            return new BudgetPolicy(none, new AllotmentPlanner(none, Duration.ofDays(1)), Math.max(1, live));
        }
        ConfigSnapshot config = blackboard.config().get();
        Preset preset = config.preset();
        String workspace = budget.split(":", 2)[0];
        long horizon = config.workspace(workspace)
                .flatMap(w -> w.allotmentHorizonSeconds())
                .orElse(preset.allotmentHorizonSeconds());
        SliceSizer sizer = SliceSizers.demandProportional(Duration.ofSeconds(horizon), preset.maxShareOfFree());
        return new BudgetPolicy(
                sizer, new AllotmentPlanner(sizer, Duration.ofSeconds(preset.idleReturnSeconds())), Math.max(1, live));
    }
}
