package io.hornbeamfield.core.config;

import java.util.Map;

/**
 * The configuration object that an operator's change replaces. The workspaces themselves are in shards;
 * {@code workspaceShards} maps a two-digit shard number to the revision of its content.
 */
public record ConfigHead(
        long revision,
        String activePreset,
        Map<String, Preset> presets,
        Map<String, Pool> pools,
        Map<String, Long> workspaceShards,
        int weightStoreLoadsPerMinute) {

    public ConfigHead {
        presets = Map.copyOf(presets);
        pools = Map.copyOf(pools);
        workspaceShards = Map.copyOf(workspaceShards);
    }

    /** Returns the parameters in force. */
    public Preset preset() {
        Preset p = presets.get(activePreset);
        if (p == null) {
            throw new IllegalStateException("Preset \"" + activePreset + "\" is active but not defined.");
        }
        return p;
    }
}
