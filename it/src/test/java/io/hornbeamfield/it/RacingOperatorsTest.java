package io.hornbeamfield.it;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.it.fleet.Operator;
import io.hornbeamfield.it.fleet.Waits;
import io.hornbeamfield.net.json.Json;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

/** Guards against an accepted change of one operator that another operator's change undoes. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RacingOperatorsTest {
    private static final int CONFLICT = 3;
    private static final int ROUNDS = 8;

    private final Scenario scenario = Scenario.start();

    @AfterAll
    void close() {
        scenario.close();
    }

    private Operator.Result run(String... command) {
        return scenario.fleet.operator().run(command);
    }

    @Test
    void presetSwitchAndRetirementBothSurviveOrOneIsToldOfTheConflict() {
        long accepted = 0;
        long before = run("get").orFail().path("revision").asLong();
        String preset = "ordinary";
        try (var traffic = scenario.traffic(20)) {
            for (int round = 0; round < ROUNDS; round++) {
                String wanted = round % 2 == 0 ? "peak" : "ordinary";
                String grown = "{\"weightStoreLoadsPerMinute\":" + (100 + round) + "}";
                String file = scenario.fleet
                        .write("change-" + round + ".json", Json.parse(grown.getBytes(StandardCharsets.UTF_8)))
                        .toString();
                var one = CompletableFuture.supplyAsync(() -> run("presets", "switch", wanted));
                var other = CompletableFuture.supplyAsync(() -> run("apply", "-f", file));
                List<Operator.Result> results = new ArrayList<>(List.of(one.join(), other.join()));
                assertThat(results).allMatch(r -> r.status() == 0 || r.status() == CONFLICT);
                assertThat(results).anyMatch(r -> r.status() == 0);
                accepted += results.stream().filter(r -> r.status() == 0).count();
                preset = one.join().status() == 0 ? wanted : preset;
                JsonNode now = run("get").orFail();
                assertThat(now.path("activePreset").asText()).isEqualTo(preset);
                boolean applied = other.join().status() == 0;
                assertThat(now.path("weightStoreLoadsPerMinute").asInt() == 100 + round)
                        .isEqualTo(applied);
            }
            run("drain", "models", "runner-1").orFail();
            var drainOther = CompletableFuture.supplyAsync(() -> run("drain", "models", "runner-2"));
            var retire = CompletableFuture.supplyAsync(() -> run("retire", "models", "runner-1"));
            assertThat(List.of(drainOther.join().status(), retire.join().status()))
                    .isSubsetOf(0, CONFLICT);
        }
        long revision = run("get").orFail().path("revision").asLong();
        assertThat(revision).isGreaterThanOrEqualTo(before + 1);
        Waits.until(
                "all routers adopt revision " + revision,
                Duration.ofSeconds(19),
                () -> scenario.fleet.routers().stream().allMatch(r -> scenario.fleet.revision(r) == revision));
        scenario.judgeKept();
        assertThat(accepted).isGreaterThanOrEqualTo(ROUNDS);
    }
}
