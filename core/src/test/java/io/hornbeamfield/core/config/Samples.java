package io.hornbeamfield.core.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Valid sample configurations, which tests modify in one place. */
final class Samples {
    private Samples() {}

    static Preset preset(StaleConfigPolicy policy) {
        return new Preset(600, 0.5, 60, 200, 64, 256, 0.1, 0, 2_000, 500, 20, Priority.LOW, policy);
    }

    static ConfigHead head(long revision) {
        return head(revision, StaleConfigPolicy.SERVE);
    }

    static ConfigHead head(long revision, StaleConfigPolicy policy) {
        Preset p = preset(policy);
        return new ConfigHead(
                revision,
                "ordinary",
                Map.of("ordinary", p, "peak", p, "maintenance", p),
                Map.of("models", modelPool(Map.of("runner-1", server("10.0.0.1:80")))),
                Map.of(),
                30);
    }

    static Pool modelPool(Map<String, Server> servers) {
        return new Pool(PoolKind.MODEL, List.of("m"), 0, List.of(), true, servers);
    }

    static Server server(String address) {
        return new Server(address, "merrimack", ServerState.LIVE);
    }

    static ConfigHead withPools(Map<String, Pool> pools) {
        ConfigHead h = head(1);
        return new ConfigHead(1, h.activePreset(), h.presets(), pools, Map.of(), 30);
    }

    static ConfigHead withPreset(String active, String name, Preset preset) {
        ConfigHead h = head(1);
        Map<String, Preset> presets = new HashMap<>(h.presets());
        presets.put(name, preset);
        return new ConfigHead(1, active, presets, h.pools(), Map.of(), 30);
    }

    static Map<String, WorkspaceShard> shards(String name, String... hashes) {
        Workspace w = new Workspace(name, List.of(hashes), Priority.NORMAL, Optional.empty());
        return Map.of(WorkspaceShard.shardOf(name), new WorkspaceShard(Map.of(name, w)));
    }
}
