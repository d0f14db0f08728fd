package io.hornbeamfield.core.config;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A whole adopted configuration: the head and the workspaces of its shards.
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

    /** Creates a snapshot; the shards are keyed by their two-digit number. */
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

    /** Returns the shards by their two-digit number. */
    public Map<String, WorkspaceShard> shards() {
        return shards;
    }

    /** Returns the parameters in force. */
    public Preset preset() {
        return head.preset();
    }

    /** Returns the workspace that a caller key belongs to, by the hexadecimal SHA-256 of the key. */
    public Optional<Workspace> workspaceByKeyHash(String keyHash) {
        return Optional.ofNullable(byKeyHash.get(keyHash));
    }

    /** Returns a workspace by name. */
    public Optional<Workspace> workspace(String name) {
        return Optional.ofNullable(byName.get(name));
    }
}
