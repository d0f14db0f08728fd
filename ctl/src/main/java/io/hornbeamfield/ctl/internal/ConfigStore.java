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
 * Reads the configuration and replaces it by one conditional update of the head. Changed shards are written first, as
 * new objects, so that a head never names a shard revision that does not exist.
 */
public final class ConfigStore {
    static final String HEAD_KEY = "config/head";
    private static final String SHARD_PREFIX = "config/workspaces/";
    private static final int ATTEMPTS = 6;

    /** Shard revisions that an unfinished change of another operator may have left behind. */
    private static final int MAX_LEFT_REVISIONS = 64;

    private final Platform platform;
    private final ConfigValidator validator = new ConfigValidator();

    public ConfigStore(Platform platform) {
        this.platform = platform;
    }

    /** Reads the head and its shards. */
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
            throw new CtlFailure(
                    ResultCode.INVALID_CONFIGURATION, "There is no configuration yet. Write one with apply -f FILE.");
        }
        return stored;
    }

    private WorkspaceShard readShard(String shard, long revision) {
        String key = shardKey(shard, revision);
        for (int i = 1; i <= ATTEMPTS; i++) {
            Optional<VersionedValue> stored = platform.read(key);
            if (stored.isPresent()) {
                return Json.read(stored.get().value(), WorkspaceShard.class);
            }
            Platform.pause(i);
        }
        throw new CtlFailure(
                ResultCode.PLATFORM_UNAVAILABLE,
                "The head names " + key + ", but the platform does not return it. Try again; if it stays so, restore"
                        + " the object.");
    }

    /** Checks a draft against all rules. */
    public void check(ConfigDraft draft) {
        Map<String, WorkspaceShard> shards = draft.shards();
        Map<String, Long> revisions = new HashMap<>();
        shards.keySet().forEach(s -> revisions.put(s, 1L));
        requireValid(validator.check(head(draft, 1, revisions, Optional.empty()), shards));
    }

    static void requireValid(List<ConfigError> errors) {
        if (!errors.isEmpty()) {
            String text = errors.stream().map(ConfigError::toString).collect(Collectors.joining("\n  "));
            throw new CtlFailure(
                    ResultCode.INVALID_CONFIGURATION,
                    "Nothing was written. Correct " + errors.size() + (errors.size() == 1 ? " error" : " errors")
                            + ":\n  " + text);
        }
    }

    /** Replaces the configuration that was read by the draft. Returns the revision in force, the same if unchanged. */
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
        removeOldShards(base, shardRevisions);
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
     * A new revision is above all that a head has named for the shard, and a shard that has lost its last workspace
     * stays as an empty one. So no key is ever written again with another content after its object was removed.
     */
    private Map<String, Long> writeShards(StoredConfig base, Map<String, WorkspaceShard> wanted) {
        Map<String, WorkspaceShard> all = new TreeMap<>(wanted);
        base.shards().keySet().forEach(s -> all.putIfAbsent(s, new WorkspaceShard(Map.of())));
        Map<String, Long> named = base.head().map(ConfigHead::workspaceShards).orElse(Map.of());
        Map<String, Long> revisions = new HashMap<>();
        all.forEach((shard, content) -> {
            long current = named.getOrDefault(shard, 0L);
            boolean unchanged = current > 0 && content.equals(base.shards().get(shard));
            long next = Math.max(base.revision(), current) + 1;
            revisions.put(shard, unchanged ? current : writeShard(shard, content, next));
        });
        return revisions;
    }

    /** A revision that exists with another content was left by a change that lost its race; the next one is free. */
    private long writeShard(String shard, WorkspaceShard content, long firstRevision) {
        int unknown = 0;
        for (long revision = firstRevision; revision < firstRevision + MAX_LEFT_REVISIONS; ) {
            WriteResult result = platform.write(shardKey(shard, revision), 0, Json.tree(content));
            if (result instanceof WriteResult.Applied || isStored(result, content)) {
                return revision;
            }
            if (result instanceof WriteResult.Conflict) {
                revision++;
            } else if (++unknown == ATTEMPTS) {
                throw new CtlFailure(
                        ResultCode.PLATFORM_UNAVAILABLE,
                        "The platform does not confirm " + shardKey(shard, revision) + ". The configuration in force is"
                                + " unchanged. Try again.");
            }
        }
        throw new CtlFailure(
                ResultCode.CONFLICT,
                "Shard " + shard + " has " + MAX_LEFT_REVISIONS
                        + " revisions that no head names. Run get and try again.");
    }

    private static boolean isStored(WriteResult result, WorkspaceShard content) {
        return result instanceof WriteResult.Conflict c
                && c.current()
                        .filter(v -> Json.read(v.value(), WorkspaceShard.class).equals(content))
                        .isPresent();
    }

    private void replaceHead(StoredConfig base, ConfigHead head, String changeId) {
        boolean answerLost = false;
        for (int i = 1; i <= ATTEMPTS; i++) {
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
                throw lostRace(base, current.map(ConfigHead::revision).orElse(0L), answerLost);
            }
            // The next attempt names the same version: it is applied, or the conflict shows what is stored.
            answerLost = true;
            Platform.pause(i);
        }
        throw new CtlFailure(
                ResultCode.OUTCOME_UNKNOWN,
                "The platform did not confirm revision " + head.revision() + " with change id " + changeId
                        + ". Run get: if it shows this change id, the change is in force.");
    }

    /**
     * Removes the revisions of changed shards that are older than the one just replaced, which routers may still be
     * reading. A change in progress that wrote one of them loses its race in any case. What cannot be removed now is
     * removed by the next change of the shard.
     */
    private void removeOldShards(StoredConfig base, Map<String, Long> inForce) {
        Map<String, Long> replaced =
                base.head().map(ConfigHead::workspaceShards).orElse(Map.of());
        replaced.forEach((shard, revision) -> {
            if (!revision.equals(inForce.get(shard))) {
                platform.removeIf(
                        SHARD_PREFIX + shard + "/",
                        key -> Long.parseLong(key.substring(key.lastIndexOf('/') + 1)) < revision);
            }
        });
    }

    private static CtlFailure lostRace(StoredConfig base, long current, boolean answerLost) {
        if (answerLost && current > base.revision() + 1) {
            return new CtlFailure(
                    ResultCode.OUTCOME_UNKNOWN,
                    "An answer was lost and revision " + current + " replaced the change or was written in its place."
                            + " Run diff to see whether the change is in force, and repeat the command if not.");
        }
        return new CtlFailure(
                ResultCode.CONFLICT,
                "Another operator's change was accepted first: the current revision is " + current
                        + ", this change was made for revision " + base.revision()
                        + ". Nothing was changed. Run get, check that the change is still wanted and repeat the command.");
    }

    private static String shardKey(String shard, long revision) {
        return SHARD_PREFIX + shard + "/" + revision;
    }
}
