package io.hornbeamfield.it;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.it.fleet.RouterHandle;
import io.hornbeamfield.it.fleet.Waits;
import io.hornbeamfield.it.judge.CallerOutcome;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

/** Guards against lost, doubled or unbilled requests when routers die with open streams. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RouterKilledTest {
    private final Scenario scenario = Scenario.start(plan -> plan.withEngineOptions(Map.of("token-ms", "8")));

    @AfterAll
    void close() {
        scenario.close();
    }

    @Test
    void modelRequestsAreAnsweredElsewhereAndCallsNeverRunTwice() {
        try (var traffic = scenario.traffic(50)) {
            Waits.sleep(Duration.ofSeconds(3));
            scenario.fleet.router(0).process().kill();
            Waits.sleep(Duration.ofSeconds(2));
            scenario.fleet.router(4).process().kill();
            Waits.sleep(Duration.ofSeconds(3));
        }
        scenario.judgeKept();
        scenario.requireModelAnswers();
        assertThat(scenario.callers.outcomes())
                .filteredOn(o -> o.kind() == CallerOutcome.Kind.UNKNOWN)
                .allMatch(o -> !o.model());
    }

    @Test
    void killedRouterComesBackAsANewIncarnationAndServes() {
        RouterHandle router = scenario.fleet.router(0);
        router.process().kill();
        scenario.fleet.restart(router);
        try (var traffic = scenario.traffic(30)) {
            Waits.sleep(Duration.ofSeconds(2));
        }
        scenario.judgeKept();
    }
}
