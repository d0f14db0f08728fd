package io.hornbeamfield.ctl.internal;

import io.hornbeamfield.core.config.ConfigHead;
import io.hornbeamfield.core.config.Workspace;
import io.hornbeamfield.core.config.WorkspaceShard;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The configuration as read: the head, its object version for the compare-and-set, and the shards by shard number. */
public record StoredConfig(Optional<ConfigHead> head, long version, Map<String, WorkspaceShard> shards) {

    /** Returns the revision, 0 if there is no configuration. */
    public long revision() {
        return head.map(ConfigHead::revision).orElse(0L);
    }

    /** Returns all workspaces by name. */
    public Map<String, Workspace> workspaces() {
        Map<String, Workspace> all = new TreeMap<>();
        shards.values().forEach(s -> all.putAll(s.workspaces()));
        return all;
    }
}
