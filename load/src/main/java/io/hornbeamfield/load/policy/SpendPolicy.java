package io.hornbeamfield.load.policy;

import io.hornbeamfield.core.budget.SliceSizer;
import io.hornbeamfield.core.budget.SliceSizers;
import java.time.Duration;
import java.util.List;

/**
 * A way to spend a shared budget. With {@code updatePerRequest} each request makes one conditional update; transfers
 * let routers help each other; a watch reports a changed record while nothing is free.
 */
record SpendPolicy(
        String name,
        SliceSizer sizer,
        boolean updatePerRequest,
        boolean transfers,
        boolean watchWhenEmpty,
        Duration horizon,
        Duration idleReturn,
        long admissionWaitMs) {

    private static final Duration NEVER = Duration.ofDays(1);

    /** The policy of the design with its parameters. */
    static SpendPolicy chosen(long horizonSeconds, double maxShareOfFree, long admissionWaitMs) {
        return new SpendPolicy(
                "chosen",
                SliceSizers.demandProportional(Duration.ofSeconds(horizonSeconds), maxShareOfFree),
                false,
                true,
                true,
                Duration.ofSeconds(horizonSeconds),
                Duration.ofSeconds(300),
                admissionWaitMs);
    }

    /** The policies that are compared. */
    static List<SpendPolicy> all(long horizonSeconds, double maxShareOfFree, long admissionWaitMs) {
        return List.of(
                new SpendPolicy("per-request", SliceSizers.fixed(0), true, false, false, NEVER, NEVER, admissionWaitMs),
                new SpendPolicy(
                        "even-split", SliceSizers.evenSplit(), false, false, false, NEVER, NEVER, admissionWaitMs),
                new SpendPolicy(
                        "fixed-slice", SliceSizers.fixed(50_000), false, false, false, NEVER, NEVER, admissionWaitMs),
                chosen(horizonSeconds, maxShareOfFree, admissionWaitMs));
    }
}
