package io.hornbeamfield.router.control.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.net.metrics.Metrics;
import io.hornbeamfield.net.platform.InstanceInfo;
import io.hornbeamfield.net.platform.ObjectPage;
import io.hornbeamfield.net.platform.PlatformClient;
import io.hornbeamfield.net.platform.VersionedValue;
import io.hornbeamfield.net.platform.WriteResult;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Counts the calls to the platform and their outcomes. */
public final class MeteredPlatform implements PlatformClient {
    private final PlatformClient platform;
    private final Metrics metrics;

    public MeteredPlatform(PlatformClient platform, Metrics metrics) {
        this.platform = platform;
        this.metrics = metrics;
    }

    @Override
    public CompletableFuture<Optional<VersionedValue>> read(String key) {
        return counted("reads", platform.read(key));
    }

    @Override
    public CompletableFuture<WriteResult> write(String key, long expectedVersion, JsonNode value) {
        return countedWrite(platform.write(key, expectedVersion, value));
    }

    @Override
    public CompletableFuture<WriteResult> delete(String key, long expectedVersion) {
        return countedWrite(platform.delete(key, expectedVersion));
    }

    @Override
    public CompletableFuture<ObjectPage> list(String prefix, String afterKey, int limit) {
        return counted("lists", platform.list(prefix, afterKey, limit));
    }

    @Override
    public CompletableFuture<Optional<VersionedValue>> watch(String key, long afterVersion, Duration wait) {
        return counted("watches", platform.watch(key, afterVersion, wait));
    }

    @Override
    public CompletableFuture<List<InstanceInfo>> instances() {
        return counted("instances", platform.instances());
    }

    private <T> CompletableFuture<T> counted(String kind, CompletableFuture<T> future) {
        count(kind);
        return future.whenComplete((value, failure) -> {
            if (failure != null) {
                count("failed");
            }
        });
    }

    private CompletableFuture<WriteResult> countedWrite(CompletableFuture<WriteResult> future) {
        count("writes");
        return future.whenComplete((result, failure) -> {
            if (result instanceof WriteResult.Conflict) {
                count("conflicts");
            } else if (!(result instanceof WriteResult.Applied)) {
                count("failed");
            }
        });
    }

    private void count(String kind) {
        metrics.counter("platform." + kind).inc();
    }
}
