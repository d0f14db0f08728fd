package io.hornbeamfield.core.config;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * An immutable, complete configuration: the head and the workspaces of its shards, indexed by name and key hash.
 *
 * <pre>{@code
 * snapshot.workspaceByKeyHash(sha256Hex(bearerToken));
 * }</pre>
 */
public final class ConfigSnapshot {
    private final ConfigHead head;
    private final Map<String, WorkspaceShard> shards;
    private final Map<String, Workspace> byKeyHash;
    private final Map<String, Workspace> byName;

    /** Creates a snapshot from a head and its shards by two-digit shard number. */
    public ConfigSnapshot(ConfigHead head, Map<String, WorkspaceShard> shards) {
        this.head = head;
        this.shards = Map.copyOf(shards);
        this.byKeyHash = new HashMap<>();
        this.byName = new HashMap<>();
        for (WorkspaceShard shard : shards.values()) {
            shard.workspaces().values().forEach(this::index);
        }
    }

    private void index(Workspace workspace) {
        byName.put(workspace.name(), workspace);
        workspace.keyHashes().forEach(hash -> byKeyHash.put(hash, workspace));
    }

    /** Returns the head. */
    public ConfigHead head() {
        return head;
    }

    /** Returns the shards by two-digit shard number. */
    public Map<String, WorkspaceShard> shards() {
        return shards;
    }

    /** Returns the active preset. */
    public Preset preset() {
        return head.preset();
    }

    /** Returns the workspace that owns a caller key, given the hexadecimal SHA-256 hash of the key. */
    public Optional<Workspace> workspaceByKeyHash(String keyHash) {
        return Optional.ofNullable(byKeyHash.get(keyHash));
    }

    /** Returns a workspace by name. */
    public Optional<Workspace> workspace(String name) {
        return Optional.ofNullable(byName.get(name));
    }
}
