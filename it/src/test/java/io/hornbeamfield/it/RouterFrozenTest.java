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

/** Guards against a paused router that resumes with state that others have taken over meanwhile. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RouterFrozenTest {
    private final Scenario scenario = Scenario.start(plan -> plan.withEngineOptions(Map.of("token-ms", "8")))
            .withServiceDelayMs(1_000);

    @AfterAll
    void close() {
        scenario.close();
    }

    @Test
    void requestsOfAFrozenRouterAreNeitherBilledNorRunTwiceAfterItResumes() {
        // Shorter than the pause, so that callers give up on the calls that the frozen router holds.
        scenario.callers.withDeadline(Duration.ofSeconds(9));
        RouterHandle frozen = scenario.fleet.router(2);
        try (var traffic = scenario.traffic(50)) {
            Waits.sleep(Duration.ofSeconds(2));
            scenario.startCalls(30);
            Waits.sleep(Duration.ofMillis(300));
            frozen = scenario.fleet.busiest();
            frozen.process().pause();
            Waits.sleep(Duration.ofSeconds(12));
            frozen.process().resume();
            Waits.sleep(Duration.ofSeconds(4));
        } finally {
            frozen.process().resume();
        }
        scenario.judgeKept();
        scenario.requireModelAnswers();
        assertThat(scenario.callers.outcomes())
                .as("calls that the frozen router held, seed %d", scenario.seed)
                .anyMatch(o -> o.kind() == CallerOutcome.Kind.UNKNOWN);
        assertThat(scenario.fleet.serves(frozen)).isTrue();
    }
}
