package io.hornbeamfield.it;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.it.fleet.RouterHandle;
import io.hornbeamfield.it.fleet.Waits;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

/** Guards against a paused router that resumes and still believes in what others took over meanwhile. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RouterFrozenTest {
    private final Scenario scenario = Scenario.start(plan -> plan.withEngineOptions(Map.of("token-ms", "8")));

    @AfterAll
    void close() {
        scenario.close();
    }

    @Test
    void requestsOfAFrozenRouterAreNeitherBilledNorRunTwiceAfterItResumes() {
        RouterHandle frozen = scenario.fleet.router(2);
        try (var traffic = scenario.traffic(50)) {
            Waits.sleep(Duration.ofSeconds(3));
            frozen.process().pause();
            Waits.sleep(Duration.ofSeconds(9));
            frozen.process().resume();
            Waits.sleep(Duration.ofSeconds(4));
        } finally {
            frozen.process().resume();
        }
        scenario.judgeKept();
        scenario.requireModelAnswers();
        assertThat(scenario.fleet.serves(frozen)).isTrue();
    }
}
