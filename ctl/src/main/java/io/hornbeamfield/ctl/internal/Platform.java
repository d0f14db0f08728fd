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

/** Blocking access to the platform with a few attempts per call. */
public final class Platform {
    private static final int ATTEMPTS = 4;
    private static final long PAUSE_MS = 150;
    private static final int PAGE = 500;

    private final PlatformClient client;

    public Platform(PlatformClient client) {
        this.client = client;
    }

    /** Reads an object. */
    public Optional<VersionedValue> read(String key) {
        return attempt(() -> client.read(key), "read " + key);
    }

    /** Lists all objects under a prefix. */
    public List<VersionedValue> list(String prefix) {
        List<VersionedValue> all = new ArrayList<>();
        String after = "";
        boolean more = true;
        while (more) {
            String from = after;
            ObjectPage page = attempt(() -> client.list(prefix, from, PAGE), "list " + prefix);
            all.addAll(page.objects());
            more = page.more() && !page.objects().isEmpty();
            after = all.isEmpty() ? "" : all.get(all.size() - 1).key();
        }
        return all;
    }

    /** Reads the instance list. */
    public List<InstanceInfo> instances() {
        return attempt(client::instances, "read the instance list");
    }

    /**
     * Sends a conditional update. An update that was certainly not applied is sent again a few times and then reported
     * as a failure; the other outcomes are returned for the caller to judge.
     */
    public WriteResult write(String key, long expectedVersion, JsonNode value) {
        for (int i = 1; ; i++) {
            WriteResult result = client.write(key, expectedVersion, value).join();
            if (!(result instanceof WriteResult.NotApplied n)) {
                return result;
            }
            if (i == ATTEMPTS) {
                throw new CtlFailure(
                        ResultCode.PLATFORM_UNAVAILABLE,
                        "Cannot write " + key + ": " + sentence(n.reason())
                                + " Nothing was changed by this write. Try again when" + " the platform answers.");
            }
            pause(i);
        }
    }

    /** Removes the objects under a prefix whose keys fulfil the condition, as far as the platform answers. */
    public void removeIf(String prefix, Predicate<String> condition) {
        try {
            for (VersionedValue v : client.list(prefix, "", PAGE).join().objects()) {
                if (condition.test(v.key())) {
                    client.delete(v.key(), v.version()).join();
                }
            }
        } catch (CompletionException e) {
            // The command has done its work; a later one removes the objects.
            return;
        }
    }

    private static <T> T attempt(Supplier<CompletableFuture<T>> call, String what) {
        for (int i = 1; ; i++) {
            try {
                return call.get().join();
            } catch (CompletionException e) {
                if (i == ATTEMPTS) {
                    String reason = e.getCause() == null
                            ? String.valueOf(e.getMessage())
                            : String.valueOf(e.getCause().getMessage());
                    throw new CtlFailure(
                            ResultCode.PLATFORM_UNAVAILABLE,
                            "Cannot " + what + ": " + sentence(reason)
                                    + " Check --platform and --token and try again.");
                }
                pause(i);
            }
        }
    }

    private static String sentence(String reason) {
        return reason.endsWith(".") ? reason : reason + ".";
    }

    /** Waits longer after each attempt. */
    static void pause(int attempt) {
        try {
            Thread.sleep(PAUSE_MS * attempt);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CtlFailure(ResultCode.PLATFORM_UNAVAILABLE, "Interrupted. Check the result with get.");
        }
    }
}
