package io.hornbeamfield.it;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.time.MonotonicClock;
import io.hornbeamfield.it.fleet.Backend;
import io.hornbeamfield.it.fleet.Waits;
import java.time.Clock;
import java.time.Duration;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

/** Guards against new work for a backend server that is leaving, and against cutting the work it has. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class DrainedBackendTest {
    private static final long FEW_SECONDS_MS = 3_000;

    private final Clock clock = MonotonicClock.start();
    private final Scenario scenario = Scenario.start();

    @AfterAll
    void close() {
        scenario.close();
    }

    private long lastStart(Backend backend) {
        long last = 0;
        for (var record : scenario.fleet.records(backend)) {
            last = Math.max(
                    last, record.path(backend.model() ? "startedMs" : "lastMs").asLong());
        }
        return last;
    }

    @Test
    void drainedServersGetNothingNewAfterAFewSeconds() {
        Backend engine = scenario.fleet.engines().get(0);
        Backend service = scenario.fleet.services().get(0);
        long drained;
        try (var traffic = scenario.traffic(50)) {
            Waits.sleep(Duration.ofSeconds(2));
            scenario.fleet.operator().run("drain", engine.pool(), engine.id()).orFail();
            scenario.fleet.operator().run("drain", service.pool(), service.id()).orFail();
            drained = clock.millis();
            Waits.sleep(Duration.ofSeconds(7));
        }
        scenario.judgeKept();
        scenario.requireAnswers();
        assertThat(lastStart(engine)).isPositive().isLessThan(drained + FEW_SECONDS_MS);
        assertThat(lastStart(service)).isPositive().isLessThan(drained + FEW_SECONDS_MS);
    }

    @Test
    void engineThatReportsItselfAsLeavingGetsNothingNewAfterAFewSeconds() {
        Backend engine = scenario.fleet.engines().get(1);
        long left;
        try (var traffic = scenario.traffic(50)) {
            Waits.sleep(Duration.ofSeconds(1));
            scenario.fleet.backendFaults(engine, "{\"leaving\":true}");
            left = clock.millis();
            Waits.sleep(Duration.ofSeconds(6));
        }
        scenario.judgeKept();
        scenario.requireAnswers();
        assertThat(lastStart(engine)).isPositive().isLessThan(left + FEW_SECONDS_MS);
    }
}
