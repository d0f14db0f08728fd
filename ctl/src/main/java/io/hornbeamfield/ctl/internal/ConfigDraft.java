package io.hornbeamfield.ctl.internal;

import io.hornbeamfield.core.config.ConfigHead;
import io.hornbeamfield.core.config.Pool;
import io.hornbeamfield.core.config.Preset;
import io.hornbeamfield.core.config.Workspace;
import io.hornbeamfield.core.config.WorkspaceShard;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** A desired configuration, before it has a revision. */
public record ConfigDraft(
        String activePreset,
        Map<String, Preset> presets,
        Map<String, Pool> pools,
        Map<String, Workspace> workspaces,
        int weightStoreLoadsPerMinute) {

    /** Returns a draft equal to a stored configuration. */
    public static ConfigDraft from(ConfigHead head, Map<String, Workspace> workspaces) {
        return new ConfigDraft(
                head.activePreset(), head.presets(), head.pools(), workspaces, head.weightStoreLoadsPerMinute());
    }

    /** Returns this draft with another active preset. */
    public ConfigDraft withActivePreset(String name) {
        return new ConfigDraft(name, presets, pools, workspaces, weightStoreLoadsPerMinute);
    }

    /** Returns this draft with a pool replaced. */
    public ConfigDraft withPool(String name, Pool pool) {
        Map<String, Pool> changed = new HashMap<>(pools);
        changed.put(name, pool);
        return new ConfigDraft(activePreset, presets, changed, workspaces, weightStoreLoadsPerMinute);
    }

    /** Returns this draft with a workspace added or replaced. */
    public ConfigDraft withWorkspace(Workspace workspace) {
        Map<String, Workspace> changed = new HashMap<>(workspaces);
        changed.put(workspace.name(), workspace);
        return new ConfigDraft(activePreset, presets, pools, changed, weightStoreLoadsPerMinute);
    }

    /** Returns the workspaces grouped by shard. */
    public Map<String, WorkspaceShard> shards() {
        Map<String, Map<String, Workspace>> byShard = new TreeMap<>();
        workspaces.forEach((name, w) -> byShard.computeIfAbsent(WorkspaceShard.shardOf(name), s -> new HashMap<>())
                .put(name, w));
        Map<String, WorkspaceShard> shards = new TreeMap<>();
        byShard.forEach((shard, content) -> shards.put(shard, new WorkspaceShard(content)));
        return shards;
    }
}
