package io.hornbeamfield.core.config.internal;

import io.hornbeamfield.core.config.Workspace;
import io.hornbeamfield.core.config.WorkspaceShard;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;

/** Validates workspaces and their caller keys across all shards. */
public final class WorkspaceCheck {
    private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{64}");
    private static final long MAX_HORIZON_SECONDS = 3_600;

    private WorkspaceCheck() {}

    /** Validates the workspaces of all shards. */
    public static void check(Map<String, WorkspaceShard> shards, ErrorList errors) {
        Map<String, String> pathByHash = new HashMap<>();
        new TreeMap<>(shards)
                .forEach((shard, content) -> new TreeMap<>(content.workspaces())
                        .forEach((name, w) -> checkWorkspace(shard, name, w, pathByHash, errors)));
    }

    private static void checkWorkspace(
            String shard, String name, Workspace w, Map<String, String> pathByHash, ErrorList errors) {
        String path = "workspaces." + name;
        errors.requireId(path, name);
        if (!name.equals(w.name())) {
            errors.add(path + ".name", "is \"" + w.name() + "\". Use the name under which the workspace is stored.");
        }
        String expected = WorkspaceShard.shardOf(name);
        if (!expected.equals(shard)) {
            errors.add(path, "is in shard " + shard + ". Store it in shard " + expected + ".");
        }
        w.allotmentHorizonSeconds()
                .ifPresent(h -> errors.requireRange(path + ".allotmentHorizonSeconds", h, 1, MAX_HORIZON_SECONDS));
        for (int i = 0; i < w.keyHashes().size(); i++) {
            checkHash(path + ".keyHashes[" + i + "]", w.keyHashes().get(i), pathByHash, errors);
        }
    }

    private static void checkHash(String path, String hash, Map<String, String> pathByHash, ErrorList errors) {
        if (!KEY_HASH.matcher(hash).matches()) {
            errors.add(path, "is not a SHA-256 hash. Use 64 lower-case hexadecimal digits.");
            return;
        }
        String first = pathByHash.putIfAbsent(hash, path);
        if (first != null) {
            errors.add(
                    path, "is the same hash as " + first + ". Assign each key to one workspace only, and only once.");
        }
    }
}
