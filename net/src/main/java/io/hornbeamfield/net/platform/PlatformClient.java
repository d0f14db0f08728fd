package io.hornbeamfield.net.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Client for the platform's object API and instance list. Reads fail with a
 * {@link io.hornbeamfield.net.http.CallFailure} or {@link PlatformFailure}; writes never fail but report a
 * {@link WriteResult}.
 *
 * <pre>{@code
 * platform.write("budgets/plots", 0, record).thenAccept(result -> ...);
 * }</pre>
 */
public interface PlatformClient {
    /** Reads an object; empty if it does not exist. */
    CompletableFuture<Optional<VersionedValue>> read(String key);

    /** Writes an object if its version is the expected one; version 0 means that it must not exist. */
    CompletableFuture<WriteResult> write(String key, long expectedVersion, JsonNode value);

    /** Deletes an object if its version is the expected one. */
    CompletableFuture<WriteResult> delete(String key, long expectedVersion);

    /** Lists up to {@code limit} objects whose key starts with the prefix and sorts after the given key. */
    CompletableFuture<ObjectPage> list(String prefix, String afterKey, int limit);

    /**
     * Waits until the object has a version above the given one; empty if the wait ends without a change (long poll).
     */
    CompletableFuture<Optional<VersionedValue>> watch(String key, long afterVersion, Duration wait);

    /** Reads the instance list. */
    CompletableFuture<List<InstanceInfo>> instances();
}
