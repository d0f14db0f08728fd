package io.hornbeamfield.net.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Access to the platform's object API and instance list. Reads fail with a
 * {@link io.hornbeamfield.net.http.CallFailure} or {@link PlatformFailure}; writes never fail but report their
 * {@link WriteResult}.
 *
 * <pre>{@code
 * platform.write("budgets/plots", 0, record).thenAccept(result -> ...);
 * }</pre>
 */
public interface PlatformClient {
    /** Reads an object. */
    CompletableFuture<Optional<VersionedValue>> read(String key);

    /** Writes an object if it has the expected version; version 0 means that it must not exist. */
    CompletableFuture<WriteResult> write(String key, long expectedVersion, JsonNode value);

    /** Deletes an object if it has the expected version. */
    CompletableFuture<WriteResult> delete(String key, long expectedVersion);

    /** Lists objects whose key starts with the prefix and sorts after the given key. */
    CompletableFuture<ObjectPage> list(String prefix, String afterKey, int limit);

    /** Waits for a version above the given one; empty when the wait ends without a change. */
    CompletableFuture<Optional<VersionedValue>> watch(String key, long afterVersion, Duration wait);

    /** Reads the instance list. */
    CompletableFuture<List<InstanceInfo>> instances();
}
