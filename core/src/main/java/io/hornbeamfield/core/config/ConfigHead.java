package io.hornbeamfield.core.config;

import java.util.Map;
import java.util.Optional;

/**
 * The configuration object that an operator's change replaces. The workspaces themselves are in shards;
 * {@code workspaceShards} maps a two-digit shard number to the revision of its content. The change id is chosen by the
 * writer, which recognises its own change by it when the answer of the write was lost.
 */
public record ConfigHead(
        long revision,
        String activePreset,
        Map<String, Preset> presets,
        Map<String, Pool> pools,
        Map<String, Long> workspaceShards,
        int weightStoreLoadsPerMinute,
        Optional<String> changeId) {

    /** Creates a head without a change id. */
    public ConfigHead(
            long revision,
            String activePreset,
            Map<String, Preset> presets,
            Map<String, Pool> pools,
            Map<String, Long> workspaceShards,
            int weightStoreLoadsPerMinute) {
        this(revision, activePreset, presets, pools, workspaceShards, weightStoreLoadsPerMinute, Optional.empty());
    }

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
