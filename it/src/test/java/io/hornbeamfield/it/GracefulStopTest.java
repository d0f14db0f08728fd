package io.hornbeamfield.it;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.it.fleet.RouterHandle;
import io.hornbeamfield.it.fleet.Waits;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

/** Guards against requests that a graceful stop cuts off, and against balances that it strands. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class GracefulStopTest {
    private static final Duration STOP_LIMIT = Duration.ofSeconds(30);

    private final Scenario scenario = Scenario.start(plan -> plan.withEngineOptions(Map.of("token-ms", "10")));

    @AfterAll
    void close() {
        scenario.close();
    }

    @Test
    void stoppingRouterFinishesItsRequestsReturnsItsBalanceAndExits() {
        RouterHandle stopping = scenario.fleet.router(1);
        String incarnation =
                scenario.fleet.state(stopping).orElseThrow().path("incarnation").asText();
        try (var traffic = scenario.traffic(40)) {
            Waits.sleep(Duration.ofSeconds(2));
            stopping.process().terminate();
            assertThat(stopping.process().awaitExit(STOP_LIMIT)).isTrue();
        }
        scenario.judgeKept();
        scenario.requireAnswers();
        assertThat(incarnation).startsWith(stopping.id() + "-");
        scenario.farEnds
                .budgets()
                .forEach((budget, record) -> assertThat(record.path("holders").has(incarnation))
                        .as("entry of %s in budget %s", incarnation, budget)
                        .isFalse());
    }
}
