package io.hornbeamfield.it;

import io.hornbeamfield.it.fleet.Backend;
import io.hornbeamfield.it.fleet.Waits;
import java.time.Duration;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

/** Guards against requests that hang on a connection that went silent while new connections work. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class SilentConnectionTest {
    private final Scenario scenario = Scenario.start();

    @AfterAll
    void close() {
        scenario.close();
    }

    @Test
    void silentEngineStreamsAreResumedOnFreshConnections() {
        try (var traffic = scenario.traffic(40)) {
            Waits.sleep(Duration.ofSeconds(1));
            scenario.fleet.engines().forEach(e -> scenario.fleet.backendFaults(e, "{\"silentStreams\":5}"));
            Waits.sleep(Duration.ofSeconds(4));
        }
        scenario.judgeKept();
        scenario.requireModelAnswers();
    }

    @Test
    void silentLinksToEnginesAndPlatformAreLeftForNewConnections() {
        try (var traffic = scenario.traffic(40)) {
            Waits.sleep(Duration.ofSeconds(1));
            for (Backend engine : scenario.fleet.engines()) {
                scenario.fleet.link(engine.link(), "{\"silence\":true}");
            }
            scenario.fleet.routers().forEach(r -> scenario.fleet.link(r.platformLink(), "{\"silence\":true}"));
            Waits.sleep(Duration.ofSeconds(4));
        }
        scenario.judgeKept();
        scenario.requireModelAnswers();
    }
}
