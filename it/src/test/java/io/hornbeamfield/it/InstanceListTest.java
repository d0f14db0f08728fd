package io.hornbeamfield.it;

import io.hornbeamfield.it.fleet.Backend;
import io.hornbeamfield.it.fleet.RouterHandle;
import io.hornbeamfield.it.fleet.Waits;
import java.time.Duration;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

/** Guards against requests that fail because the instance list lags or is wrong. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class InstanceListTest {
    private final Scenario scenario = Scenario.start();

    @AfterAll
    void close() {
        scenario.close();
    }

    @Test
    void wrongEntriesCostNoRequest() {
        Backend missing = scenario.fleet.engines().get(0);
        RouterHandle live = scenario.fleet.router(3);
        scenario.fleet.unlistInstance(missing.id());
        scenario.fleet.listInstance("router-99", "router", "127.0.0.1:9", "merrimack", "live");
        scenario.fleet.listInstance("runner-99", "engine", "127.0.0.1:9", "merrimack", "live");
        scenario.fleet.listInstance(live.id(), "router", "127.0.0.1:9", live.zone(), "live");
        try (var traffic = scenario.traffic(40)) {
            Waits.sleep(Duration.ofSeconds(6));
        }
        scenario.judgeKept();
        scenario.requireAnswers();
    }

    @Test
    void deadRouterThatALaggingListStillShowsCostsNoModelRequest() {
        scenario.fleet.platformFaults("{\"instanceListLagMs\":60000}");
        RouterHandle dead = scenario.fleet.router(5);
        try (var traffic = scenario.traffic(40)) {
            Waits.sleep(Duration.ofSeconds(1));
            dead.process().kill();
            scenario.fleet.unlistInstance(dead.id());
            Waits.sleep(Duration.ofSeconds(6));
        }
        scenario.judgeKept();
        scenario.requireModelAnswers();
    }
}
