package io.hornbeamfield.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that invalid configurations are rejected and that each error names the field. */
class ConfigValidatorTest {
    private final ConfigValidator validator = new ConfigValidator();

    @Test
    void validConfigurationHasNoErrors() {
        assertThat(validator.check(Samples.head(1))).isEmpty();
    }

    static Stream<Arguments> faultyHeads() {
        Preset p = Samples.preset(StaleConfigPolicy.SERVE);
        Server s = Samples.server("10.0.0.1:80");
        ConfigHead h = Samples.head(1);
        return Stream.of(
                Arguments.of(Samples.withPreset("rush", "peak", p), "activePreset", "Use one of: maintenance"),
                Arguments.of(
                        new ConfigHead(1, "peak", Map.of("peak", p), h.pools(), Map.of(), 30),
                        "presets.ordinary",
                        "is missing"),
                Arguments.of(Samples.withPreset("peak", "Peak", p), "presets.Peak", "lower-case"),
                Arguments.of(
                        Samples.withPreset("peak", "peak", preset(0, 0.5, 0.1, 20)),
                        "presets.peak.allotmentHorizonSeconds",
                        "from 1 to 3600"),
                Arguments.of(
                        Samples.withPreset("peak", "peak", preset(600, Double.NaN, 0.1, 20)),
                        "presets.peak.maxShareOfFree",
                        "is NaN"),
                Arguments.of(
                        Samples.withPreset("peak", "peak", preset(600, 0.5, 1.5, 20)),
                        "presets.peak.retryRatio",
                        "from 0.0 to 1.0"),
                Arguments.of(
                        Samples.withPreset("peak", "peak", preset(600, 0.5, 0.1, 15)),
                        "presets.peak.drainSeconds",
                        "from 16"),
                Arguments.of(
                        Samples.withPools(Map.of("m", Samples.modelPool(Map.of("r", Samples.server("10.0.0.256:80"))))),
                        "pools.m.servers.r.address",
                        "Use ip:port"),
                Arguments.of(
                        Samples.withPools(Map.of("m", Samples.modelPool(Map.of("R_1", s)))),
                        "pools.m.servers.R_1",
                        "has the name"),
                Arguments.of(
                        Samples.withPools(
                                Map.of("m", new Pool(PoolKind.MODEL, List.of(), 0, List.of(), true, Map.of("r", s)))),
                        "pools.m.models",
                        "at least one model"),
                Arguments.of(
                        Samples.withPools(Map.of(
                                "m",
                                new Pool(PoolKind.SERVICE, List.of(), 1, List.of("orders"), true, Map.of("r", s)))),
                        "pools.m.nonRepeatable[0]",
                        "POST /orders"),
                Arguments.of(
                        Samples.withPools(
                                Map.of("m", Samples.modelPool(Map.of("r", s)), "n", Samples.modelPool(Map.of("q", s)))),
                        "pools.n.servers.q.address",
                        "as at pools.m.servers.r"),
                Arguments.of(
                        new ConfigHead(1, "peak", h.presets(), h.pools(), Map.of("64", 1L), 30),
                        "workspaceShards.64",
                        "from 00 to 63"),
                Arguments.of(
                        new ConfigHead(1, "peak", h.presets(), h.pools(), Map.of(), 0),
                        "weightStoreLoadsPerMinute",
                        "is 0"));
    }

    private static Preset preset(long horizon, double share, double retryRatio, long drain) {
        return new Preset(
                horizon,
                share,
                60,
                200,
                64,
                256,
                retryRatio,
                0,
                2_000,
                500,
                drain,
                Priority.LOW,
                StaleConfigPolicy.SERVE);
    }

    @ParameterizedTest
    @MethodSource("faultyHeads")
    void eachFaultIsReportedOnceWithItsPathAndWhatToDo(ConfigHead head, String path, String text) {
        assertThat(validator.check(head).stream().filter(e -> e.path().equals(path)))
                .singleElement()
                .satisfies(e -> assertThat(e.message()).contains(text).endsWith("."));
    }

    @Test
    void aCallerKeyBelongsToOneWorkspaceOnly() {
        String hash = "ab".repeat(32);
        ConfigHead h = Samples.head(1);
        Map<String, WorkspaceShard> shards = Samples.shards("plots", hash, hash);
        ConfigHead head =
                new ConfigHead(1, "peak", h.presets(), h.pools(), Map.of(WorkspaceShard.shardOf("plots"), 1L), 30);
        assertThat(validator.check(head, shards))
                .extracting(ConfigError::path)
                .containsExactly("workspaces.plots.keyHashes[1]");
    }

    @Test
    void aWorkspaceInTheWrongShardAndAMissingShardAreReported() {
        ConfigHead h = Samples.head(1);
        String right = WorkspaceShard.shardOf("plots");
        String wrong = right.equals("00") ? "01" : "00";
        Map<String, WorkspaceShard> shards =
                Map.of(wrong, Samples.shards("plots").get(right));
        ConfigHead head = new ConfigHead(1, "peak", h.presets(), h.pools(), Map.of(wrong, 1L, "63", 2L), 30);
        assertThat(validator.check(head, shards))
                .extracting(ConfigError::path)
                .containsExactly("workspaceShards.63", "workspaces.plots");
    }
}
