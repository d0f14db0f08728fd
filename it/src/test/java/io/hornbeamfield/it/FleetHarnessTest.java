package io.hornbeamfield.it;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.it.fleet.Waits;
import io.hornbeamfield.it.judge.Verdict;
import java.time.Duration;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

/** Guards against a harness that judges without traffic, or whose calm traffic already breaks promises. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class FleetHarnessTest {
    private final Scenario scenario = Scenario.start();

    @AfterAll
    void close() {
        scenario.close();
    }

    @Test
    void calmTrafficIsAnsweredRunAndBilledOnce() {
        try (var traffic = scenario.traffic(40)) {
            Waits.sleep(Duration.ofSeconds(4));
        }
        Verdict verdict = scenario.judgeKept();
        assertThat(verdict.requests()).isGreaterThan(100);
        assertThat(verdict.answered()).isEqualTo(verdict.requests());
        assertThat(scenario.farEnds.bills()).hasSize((int) verdict.requests());
        assertThat(scenario.farEnds.engineRuns()).isNotEmpty();
        assertThat(scenario.farEnds.serviceRuns()).isNotEmpty();
    }
}
