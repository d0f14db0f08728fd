package io.hornbeamfield.ctl.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.net.platform.InstanceInfo;
import io.hornbeamfield.net.platform.ObjectPage;
import io.hornbeamfield.net.platform.PlatformClient;
import io.hornbeamfield.net.platform.VersionedValue;
import io.hornbeamfield.net.platform.WriteResult;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** A blocking view of {@link PlatformClient} that retries failed calls with a linear backoff. */
public final class BlockingPlatformClient {
    private static final int MAX_ATTEMPTS = 4;
    private static final long BACKOFF_STEP_MS = 150;
    private static final int PAGE_SIZE = 500;

    private final PlatformClient client;

    public BlockingPlatformClient(PlatformClient client) {
        this.client = client;
    }

    /** Reads an object; empty if there is none under the key. */
    public Optional<VersionedValue> read(String key) {
        return callWithRetries(() -> client.read(key), "read " + key);
    }

    /** Lists all objects under a prefix. */
    public List<VersionedValue> list(String prefix) {
        List<VersionedValue> all = new ArrayList<>();
        String after = "";
        boolean more = true;
        while (more) {
            String from = after;
            ObjectPage page = callWithRetries(() -> client.list(prefix, from, PAGE_SIZE), "list " + prefix);
            all.addAll(page.objects());
            more = page.more() && !page.objects().isEmpty();
            after = all.isEmpty() ? "" : all.get(all.size() - 1).key();
        }
        return all;
    }

    /** Reads the instance list. */
    public List<InstanceInfo> instances() {
        return callWithRetries(client::instances, "read the instance list");
    }

    /**
     * Writes an object on condition that its version is the expected one. A write that is known not to have been
     * applied is retried and, after the last attempt, fails the command. All other outcomes, an unknown one included,
     * are returned to the caller.
     */
    public WriteResult write(String key, long expectedVersion, JsonNode value) {
        for (int i = 1; ; i++) {
            WriteResult result = client.write(key, expectedVersion, value).join();
            if (!(result instanceof WriteResult.NotApplied n)) {
                return result;
            }
            if (i == MAX_ATTEMPTS) {
                throw new CommandException(
                        ResultCode.PLATFORM_UNAVAILABLE,
                        "Cannot write " + key + ": " + withFullStop(n.reason()) + " Nothing was changed by this write ("
                                + MAX_ATTEMPTS + " attempts). Try again when the platform answers.");
            }
            backOff(i);
        }
    }

    /**
     * Deletes the objects among the first page of a prefix whose keys match. Best effort: stops without an error at the
     * first call that fails.
     */
    public void deleteMatching(String prefix, Predicate<String> condition) {
        try {
            for (VersionedValue v : client.list(prefix, "", PAGE_SIZE).join().objects()) {
                if (condition.test(v.key())) {
                    client.delete(v.key(), v.version()).join();
                }
            }
        } catch (CompletionException e) {
            // The change itself is already in force; the next change of the shard deletes what is left.
            return;
        }
    }

    private static <T> T callWithRetries(Supplier<CompletableFuture<T>> call, String operation) {
        for (int i = 1; ; i++) {
            try {
                return call.get().join();
            } catch (CompletionException e) {
                if (i == MAX_ATTEMPTS) {
                    String reason = e.getCause() == null
                            ? String.valueOf(e.getMessage())
                            : String.valueOf(e.getCause().getMessage());
                    throw new CommandException(
                            ResultCode.PLATFORM_UNAVAILABLE,
                            "Cannot " + operation + ": " + withFullStop(reason)
                                    + " Check --platform and --token and try again.");
                }
                backOff(i);
            }
        }
    }

    private static String withFullStop(String reason) {
        return reason.endsWith(".") ? reason : reason + ".";
    }

    /** Sleeps before the next attempt, for a time that grows linearly with the number of attempts made. */
    static void backOff(int attempt) {
        try {
            Thread.sleep(BACKOFF_STEP_MS * attempt);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ResultCode.PLATFORM_UNAVAILABLE, "Interrupted. Check the result with get.");
        }
    }
}
