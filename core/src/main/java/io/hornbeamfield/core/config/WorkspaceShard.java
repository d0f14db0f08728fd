package io.hornbeamfield.core.config;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.zip.CRC32;

/** The workspaces of one shard, by name. A stored shard revision is immutable. */
public record WorkspaceShard(Map<String, Workspace> workspaces) {
    /** Number of shards over which workspaces are distributed by hash of their name. */
    public static final int SHARD_COUNT = 64;

    public WorkspaceShard {
        workspaces = Map.copyOf(workspaces);
    }

    /** Returns the two-digit number of the shard that holds the given workspace. */
    public static String shardOf(String workspace) {
        CRC32 crc = new CRC32();
        crc.update(workspace.getBytes(StandardCharsets.UTF_8));
        return String.format(Locale.ROOT, "%02d", crc.getValue() % SHARD_COUNT);
    }
}
