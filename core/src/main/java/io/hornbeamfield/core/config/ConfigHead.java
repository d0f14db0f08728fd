package io.hornbeamfield.core.config;

import java.util.Map;
import java.util.Optional;

/**
 * The root object of a configuration, replaced as a whole by each operator change. Workspaces are stored in separate
 * shards; {@code workspaceShards} maps a two-digit shard number to the revision of its content. The writer chooses the
 * change id and uses it to recognise its own change when the response to the write was lost.
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

    /** Returns the active preset. */
    public Preset preset() {
        Preset p = presets.get(activePreset);
        if (p == null) {
            throw new IllegalStateException(
                    "Active preset \"" + activePreset + "\" is not defined in revision " + revision + ".");
        }
        return p;
    }
}
