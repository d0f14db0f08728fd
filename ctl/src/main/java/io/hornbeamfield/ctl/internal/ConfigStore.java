package io.hornbeamfield.ctl.internal;

import io.hornbeamfield.core.config.ConfigError;
import io.hornbeamfield.core.config.ConfigHead;
import io.hornbeamfield.core.config.ConfigValidator;
import io.hornbeamfield.core.config.WorkspaceShard;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.platform.VersionedValue;
import io.hornbeamfield.net.platform.WriteResult;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import java.util.stream.Collectors;

/**
 * Reads the configuration and replaces it atomically by a compare-and-set of the head. Changed shards are written
 * first, as new immutable objects, so that a head never refers to a shard revision that does not exist.
 */
public final class ConfigStore {
    static final String HEAD_KEY = "config/head";
    private static final String SHARD_PREFIX = "config/workspaces/";
    private static final int MAX_ATTEMPTS = 6;

    /** Bounds the search for a free shard revision past those that unfinished changes have orphaned. */
    private static final int MAX_ORPHANED_REVISIONS = 64;

    private final BlockingPlatformClient platform;
    private final ConfigValidator validator = new ConfigValidator();

    public ConfigStore(BlockingPlatformClient platform) {
        this.platform = platform;
    }

    /** Reads the head and the shards that it refers to; empty if there is no configuration yet. */
    public StoredConfig load() {
        Optional<VersionedValue> stored = platform.read(HEAD_KEY);
        if (stored.isEmpty()) {
            return new StoredConfig(Optional.empty(), 0, Map.of());
        }
        ConfigHead head = Json.read(stored.get().value(), ConfigHead.class);
        Map<String, WorkspaceShard> shards = new TreeMap<>();
        head.workspaceShards().forEach((shard, revision) -> shards.put(shard, readShard(shard, revision)));
        return new StoredConfig(Optional.of(head), stored.get().version(), shards);
    }

    /** Reads the configuration and fails if there is none. */
    public StoredConfig loadExisting() {
        StoredConfig stored = load();
        if (stored.head().isEmpty()) {
            throw new CommandException(
                    ResultCode.INVALID_CONFIGURATION, "There is no configuration yet. Write one with apply -f FILE.");
        }
        return stored;
    }

    private WorkspaceShard readShard(String shard, long revision) {
        String key = shardKey(shard, revision);
        for (int i = 1; i <= MAX_ATTEMPTS; i++) {
            Optional<VersionedValue> stored = platform.read(key);
            if (stored.isPresent()) {
                return Json.read(stored.get().value(), WorkspaceShard.class);
            }
            BlockingPlatformClient.backOff(i);
        }
        throw new CommandException(
                ResultCode.PLATFORM_UNAVAILABLE,
                "The head refers to " + key + ", but the platform did not return it in " + MAX_ATTEMPTS
                        + " attempts. Try again; if the error persists, restore the object.");
    }

    /** Validates a draft against all rules of the configuration. */
    public void check(ConfigDraft draft) {
        Map<String, WorkspaceShard> shards = draft.shards();
        Map<String, Long> revisions = new HashMap<>();
        shards.keySet().forEach(s -> revisions.put(s, 1L));
        requireValid(validator.check(head(draft, 1, revisions, Optional.empty()), shards));
    }

    static void requireValid(List<ConfigError> errors) {
        if (!errors.isEmpty()) {
            String text = errors.stream().map(ConfigError::toString).collect(Collectors.joining("\n  "));
            throw new CommandException(
                    ResultCode.INVALID_CONFIGURATION,
                    "Nothing was written. Correct " + errors.size() + (errors.size() == 1 ? " error" : " errors")
                            + ":\n  " + text);
        }
    }

    /**
     * Replaces the configuration in {@code base} with the draft. Returns the revision in force, which is that of
     * {@code base} if the draft changes nothing.
     */
    public long commit(StoredConfig base, ConfigDraft draft) {
        check(draft);
        if (base.head()
                .filter(h -> ConfigDraft.from(h, base.workspaces()).equals(draft))
                .isPresent()) {
            return base.revision();
        }
        long revision = base.revision() + 1;
        Map<String, Long> shardRevisions = writeShards(base, draft.shards());
        String changeId = UUID.randomUUID().toString();
        ConfigHead head = head(draft, revision, shardRevisions, Optional.of(changeId));
        replaceHead(base, head, changeId);
        deleteSupersededShards(base, shardRevisions);
        return revision;
    }

    private static ConfigHead head(
            ConfigDraft draft, long revision, Map<String, Long> shards, Optional<String> changeId) {
        return new ConfigHead(
                revision,
                draft.activePreset(),
                draft.presets(),
                draft.pools(),
                shards,
                draft.weightStoreLoadsPerMinute(),
                changeId);
    }

    /**
     * Writes the changed shards and returns the revision of every shard. A new revision is higher than any that a head
     * has referred to for the shard, and a shard without workspaces is kept as an empty one. So a key is never reused
     * with different content after its object was deleted.
     */
    private Map<String, Long> writeShards(StoredConfig base, Map<String, WorkspaceShard> draftShards) {
        Map<String, WorkspaceShard> all = new TreeMap<>(draftShards);
        base.shards().keySet().forEach(s -> all.putIfAbsent(s, new WorkspaceShard(Map.of())));
        Map<String, Long> currentRevisions =
                base.head().map(ConfigHead::workspaceShards).orElse(Map.of());
        Map<String, Long> revisions = new HashMap<>();
        all.forEach((shard, content) -> {
            long current = currentRevisions.getOrDefault(shard, 0L);
            boolean unchanged = current > 0 && content.equals(base.shards().get(shard));
            long next = Math.max(base.revision(), current) + 1;
            revisions.put(shard, unchanged ? current : writeShard(shard, content, next));
        });
        return revisions;
    }

    /**
     * Writes a shard under the first free revision. A revision that exists with different content was orphaned by a
     * change that lost the race for the head, so it is skipped.
     */
    private long writeShard(String shard, WorkspaceShard content, long firstRevision) {
        int unconfirmed = 0;
        for (long revision = firstRevision; revision < firstRevision + MAX_ORPHANED_REVISIONS; ) {
            WriteResult result = platform.write(shardKey(shard, revision), 0, Json.tree(content));
            if (result instanceof WriteResult.Applied || isAlreadyStored(result, content)) {
                return revision;
            }
            if (result instanceof WriteResult.Conflict) {
                revision++;
            } else if (++unconfirmed == MAX_ATTEMPTS) {
                throw new CommandException(
                        ResultCode.PLATFORM_UNAVAILABLE,
                        "The platform did not confirm " + shardKey(shard, revision) + " (" + MAX_ATTEMPTS
                                + " writes unconfirmed). The configuration in force is unchanged. Try again.");
            }
        }
        throw new CommandException(
                ResultCode.CONFLICT,
                "Shard " + shard + " has " + MAX_ORPHANED_REVISIONS + " orphaned revisions from " + firstRevision
                        + " on, to which no head refers. Run get and try again.");
    }

    private static boolean isAlreadyStored(WriteResult result, WorkspaceShard content) {
        return result instanceof WriteResult.Conflict c
                && c.current()
                        .filter(v -> Json.read(v.value(), WorkspaceShard.class).equals(content))
                        .isPresent();
    }

    private void replaceHead(StoredConfig base, ConfigHead head, String changeId) {
        boolean answerLost = false;
        for (int i = 1; i <= MAX_ATTEMPTS; i++) {
            WriteResult result = platform.write(HEAD_KEY, base.version(), Json.tree(head));
            if (result instanceof WriteResult.Applied) {
                return;
            }
            if (result instanceof WriteResult.Conflict c) {
                Optional<ConfigHead> current = c.current().map(v -> Json.read(v.value(), ConfigHead.class));
                if (current.flatMap(ConfigHead::changeId)
                        .filter(changeId::equals)
                        .isPresent()) {
                    return;
                }
                throw conflict(base, current.map(ConfigHead::revision).orElse(0L), answerLost);
            }
            // Safe to retry: the next attempt expects the same version, so it is either applied or fails with a
            // conflict that shows what is stored.
            answerLost = true;
            BlockingPlatformClient.backOff(i);
        }
        throw new CommandException(
                ResultCode.OUTCOME_UNKNOWN,
                "The platform did not confirm revision " + head.revision() + " with change id " + changeId
                        + ". Run get: if it shows this change id, the change is in force.");
    }

    /**
     * Deletes the superseded revisions of changed shards, except the one just replaced, which routers may still be
     * reading. A concurrent change that wrote one of the deleted revisions fails with a conflict in any case. What
     * cannot be deleted now is deleted by the next change of the shard.
     */
    private void deleteSupersededShards(StoredConfig base, Map<String, Long> inForce) {
        Map<String, Long> replaced =
                base.head().map(ConfigHead::workspaceShards).orElse(Map.of());
        replaced.forEach((shard, revision) -> {
            if (!revision.equals(inForce.get(shard))) {
                platform.deleteMatching(
                        SHARD_PREFIX + shard + "/",
                        key -> Long.parseLong(key.substring(key.lastIndexOf('/') + 1)) < revision);
            }
        });
    }

    private static CommandException conflict(StoredConfig base, long current, boolean answerLost) {
        if (answerLost && current > base.revision() + 1) {
            return new CommandException(
                    ResultCode.OUTCOME_UNKNOWN,
                    "An answer of the platform was lost, and revision " + current
                            + " replaced the change or was written in its place."
                            + " Run diff to see whether the change is in force, and repeat the command if not.");
        }
        return new CommandException(
                ResultCode.CONFLICT,
                "Another operator's change was accepted first: the current revision is " + current
                        + ", this change was made for revision " + base.revision()
                        + ". Nothing was changed. Run get, check that the change is still wanted and repeat the command.");
    }

    private static String shardKey(String shard, long revision) {
        return SHARD_PREFIX + shard + "/" + revision;
    }
}
