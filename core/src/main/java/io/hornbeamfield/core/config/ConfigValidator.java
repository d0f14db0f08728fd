package io.hornbeamfield.core.config;

import io.hornbeamfield.core.config.internal.ErrorList;
import io.hornbeamfield.core.config.internal.PoolCheck;
import io.hornbeamfield.core.config.internal.PresetCheck;
import io.hornbeamfield.core.config.internal.WorkspaceCheck;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Validates a configuration before it is written or adopted. Reports all errors, sorted by path within each section.
 *
 * <pre>{@code
 * List<ConfigError> errors = new ConfigValidator().check(head, shards);
 * }</pre>
 */
public final class ConfigValidator {
    /** Presets that every configuration must define. */
    public static final Set<String> REQUIRED_PRESETS = Set.of("ordinary", "peak", "maintenance");

    private static final int MAX_WEIGHT_STORE_LOADS_PER_MINUTE = 100_000;

    /** Validates a head without its shards. */
    public List<ConfigError> check(ConfigHead head) {
        ErrorList errors = new ErrorList();
        if (head.revision() < 1) {
            errors.add("revision", "is " + head.revision() + ". Revisions start at 1.");
        }
        checkPresets(head, errors);
        new TreeMap<>(head.pools()).forEach((name, pool) -> PoolCheck.check(name, pool, errors));
        PoolCheck.checkAddresses(head.pools(), errors);
        checkShardNumbers(head, errors);
        errors.requireRange(
                "weightStoreLoadsPerMinute", head.weightStoreLoadsPerMinute(), 1, MAX_WEIGHT_STORE_LOADS_PER_MINUTE);
        return errors.list();
    }

    /** Validates a head and the shards that it references, by two-digit shard number. */
    public List<ConfigError> check(ConfigHead head, Map<String, WorkspaceShard> shards) {
        ErrorList errors = new ErrorList();
        check(head).forEach(e -> errors.add(e.path(), e.message()));
        Set<String> missing = new TreeSet<>(head.workspaceShards().keySet());
        missing.removeAll(shards.keySet());
        missing.forEach(
                s -> errors.add("workspaceShards." + s, "is referenced by the head but missing. Supply the shard."));
        Set<String> extra = new TreeSet<>(shards.keySet());
        extra.removeAll(head.workspaceShards().keySet());
        extra.forEach(s ->
                errors.add("workspaceShards." + s, "is not referenced by the head. Add its revision to the head."));
        WorkspaceCheck.check(shards, errors);
        return errors.list();
    }

    private static void checkPresets(ConfigHead head, ErrorList errors) {
        Set<String> known = new TreeSet<>(head.presets().keySet());
        if (!known.contains(head.activePreset())) {
            errors.add(
                    "activePreset",
                    "names the preset \"" + head.activePreset() + "\", which does not exist. Use one of: "
                            + String.join(", ", known) + ".");
        }
        for (String name : new TreeSet<>(REQUIRED_PRESETS)) {
            if (!known.contains(name)) {
                errors.add("presets." + name, "is missing. Define the presets ordinary, peak and maintenance.");
            }
        }
        new TreeMap<>(head.presets()).forEach((name, preset) -> PresetCheck.check(name, preset, errors));
    }

    private static void checkShardNumbers(ConfigHead head, ErrorList errors) {
        new TreeMap<>(head.workspaceShards()).forEach((shard, revision) -> {
            String path = "workspaceShards." + shard;
            if (!shard.matches("[0-5][0-9]|6[0-3]")) {
                errors.add(path, "is not a shard number. Use two digits from 00 to 63.");
            }
            if (revision < 1) {
                errors.add(path, "has revision " + revision + ". Revisions start at 1.");
            }
        });
    }
}
