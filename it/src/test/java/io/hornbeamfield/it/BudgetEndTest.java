package io.hornbeamfield.it;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.it.fleet.Waits;
import java.time.Duration;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

/** Guards against the end of a budget that no router can spend because each holds a part of it. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class BudgetEndTest {
    private static final String BUDGET = "apiary";
    private static final long GRANT = 60_000;
    private static final double USABLE = 0.98;

    private final Scenario scenario = Scenario.start(Scenario.withGrant(GRANT, BUDGET));

    @AfterAll
    void close() {
        scenario.close();
    }

    @Test
    void lastTwoPercentOfABudgetAreUsable() {
        scenario.callers.withDeadline(Duration.ofSeconds(4));
        try (var traffic = scenario.traffic(100, BUDGET)) {
            Waits.sleep(Duration.ofSeconds(14));
        }
        scenario.judgeKept();
        long used = scenario.farEnds.used(BUDGET) + scenario.farEnds.serviceTokens();
        assertThat(used).as("of %d, seed %d", GRANT, scenario.seed).isBetween((long) (USABLE * GRANT), GRANT);
    }
}
