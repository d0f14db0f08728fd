package io.hornbeamfield.it;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.it.fleet.RouterHandle;
import io.hornbeamfield.it.fleet.Waits;
import io.hornbeamfield.it.judge.Verdict;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

/** Guards against overspend and needless refusals while routers cannot reach the platform. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class PlatformPartitionTest {
    private static final String TIGHT = "apiary";
    /** Used up by the traffic of the test before the top-up. */
    private static final long GRANT = 6_000;

    private static final long TOP_UP = 6_000;
    private static final double FALSE_REFUSAL_LIMIT = 0.01;

    private final Scenario scenario = Scenario.start(Scenario.withGrant(GRANT, TIGHT));

    @AfterAll
    void close() {
        scenario.close();
    }

    @Test
    void budgetIsSpentAndToppedUpWithoutOverspendWhileRoutersArePartitioned() {
        scenario.callers.withDeadline(Duration.ofSeconds(5));
        List<RouterHandle> partitioned = scenario.fleet.routers().subList(0, 3);
        try (var traffic = scenario.traffic(50);
                var tight = scenario.traffic(25, TIGHT)) {
            Waits.sleep(Duration.ofSeconds(2));
            partitioned.forEach(r -> scenario.fleet.link(r.platformLink(), "{\"cut\":true}"));
            Waits.sleep(Duration.ofSeconds(7));
            scenario.fleet
                    .operator()
                    .run("budgets", "topup", TIGHT, Long.toString(TOP_UP), "--id", "during-partition")
                    .orFail();
            scenario.farEnds.noteGrants();
            Waits.sleep(Duration.ofSeconds(5));
            partitioned.forEach(r -> scenario.fleet.link(r.platformLink(), "{\"cut\":false}"));
            Waits.sleep(Duration.ofSeconds(3));
        }
        Verdict verdict = scenario.judgeKept();
        assertThat(verdict.overspendTokens()).isZero();
        assertThat(scenario.farEnds.used(TIGHT)).isGreaterThan(GRANT);
        assertThat(verdict.falseRefusalRate())
                .as("false refusals, seed %d", scenario.seed)
                .isLessThan(FALSE_REFUSAL_LIMIT);
    }
}
