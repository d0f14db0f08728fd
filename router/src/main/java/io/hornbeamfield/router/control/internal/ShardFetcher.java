package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.config.ConfigHead;
import io.hornbeamfield.core.config.ConfigSnapshot;
import io.hornbeamfield.core.config.WorkspaceShard;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.platform.VersionedValue;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/**
 * Fetches the workspace shards of a configuration head and reuses those that the adopted configuration has at the same
 * revision.
 */
final class ShardFetcher {
    private final ControlContext context;

    ShardFetcher(ControlContext context) {
        this.context = context;
    }

    /** Returns all shards that the head names; fails if one cannot be read. */
    CompletableFuture<Map<String, WorkspaceShard>> fetch(ConfigHead head, @Nullable ConfigSnapshot known) {
        Map<String, WorkspaceShard> found = new ConcurrentHashMap<>();
        CompletableFuture<?>[] reads = head.workspaceShards().entrySet().stream()
                .map(e -> shard(e.getKey(), e.getValue(), known).thenAccept(shard -> found.put(e.getKey(), shard)))
                .toArray(CompletableFuture[]::new);
        return CompletableFuture.allOf(reads).thenApply(done -> found);
    }

    private CompletableFuture<WorkspaceShard> shard(String shard, long revision, @Nullable ConfigSnapshot known) {
        if (known != null
                && Long.valueOf(revision).equals(known.head().workspaceShards().get(shard))) {
            WorkspaceShard same = known.shards().get(shard);
            if (same != null) {
                return CompletableFuture.completedFuture(same);
            }
        }
        String key = "config/workspaces/" + shard + "/" + revision;
        return context.platform().read(key).thenApply(value -> parse(key, value));
    }

    private static WorkspaceShard parse(String key, Optional<VersionedValue> value) {
        return Json.read(
                value.orElseThrow(() ->
                                new IllegalStateException("The configuration shard " + key + " does not exist yet."))
                        .value(),
                WorkspaceShard.class);
    }
}
