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
    private final Scenario scenario = Scenario.start(plan -> plan.withEngineOptions(Map.of("token-ms", "8")))
            .withServiceDelayMs(1_000);

    @AfterAll
    void close() {
        scenario.close();
    }

    @Test
    void modelRequestsAreAnsweredElsewhereAndCallsNeverRunTwice() {
        try (var traffic = scenario.traffic(50)) {
            for (int kill = 0; kill < 2; kill++) {
                Waits.sleep(Duration.ofSeconds(2));
                scenario.startCalls(30);
                Waits.sleep(Duration.ofMillis(300));
                scenario.fleet.busiest().process().kill();
            }
            Waits.sleep(Duration.ofSeconds(3));
        }
        scenario.judgeKept();
        scenario.requireModelAnswers();
        assertThat(scenario.callers.outcomes())
                .as("calls in progress at the killed routers, seed %d", scenario.seed)
                .anyMatch(o -> o.kind() == CallerOutcome.Kind.UNKNOWN);
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
