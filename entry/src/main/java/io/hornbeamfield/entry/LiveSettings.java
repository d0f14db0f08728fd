package io.hornbeamfield.entry;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.net.json.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Supplier;

/**
 * Active settings, reloaded from their file. Retry limits, the shutdown grace period and the time for which callers may
 * cache addresses take effect while the process runs; names, addresses and ports take effect at the next start. An
 * unreadable or invalid file leaves the active settings unchanged.
 *
 * <pre>{@code
 * LiveSettings live = LiveSettings.of(file, settings, log);
 * live.reloadIfChanged();
 * live.get().retryRatio();
 * }</pre>
 */
final class LiveSettings implements Supplier<EntrySettings> {
    private final Path file;
    private final EventLog log;
    private volatile EntrySettings current;
    private byte[] lastContent = new byte[0];

    private LiveSettings(Path file, EntrySettings settings, EventLog log) {
        this.file = file;
        this.current = settings;
        this.log = log;
    }

    static LiveSettings of(Path file, EntrySettings settings, EventLog log) {
        return new LiveSettings(file, settings, log);
    }

    @Override
    public EntrySettings get() {
        return current;
    }

    /** Reads the file and applies changed values. Writes one log line for each new content. */
    synchronized void reloadIfChanged() {
        byte[] content;
        try {
            content = Files.readAllBytes(file);
        } catch (IOException e) {
            content = new byte[0];
            if (lastContent.length > 0) {
                logRejected("The file cannot be read (" + e + ").");
            }
        }
        if (content.length > 0 && !Arrays.equals(content, lastContent)) {
            apply(EntrySettings.parse(content, "Settings file " + file));
        }
        lastContent = content;
    }

    private void apply(Result<EntrySettings> read) {
        if (read instanceof Result.Refused<EntrySettings> refused) {
            logRejected(refused.refusal().detail());
        } else if (read instanceof Result.Ok<EntrySettings> ok) {
            EntrySettings before = current;
            EntrySettings after = before.withReloadable(ok.value());
            current = after;
            log.event("settings")
                    .field("file", file.toString())
                    .field("changed", String.join(",", differences(before, after)))
                    .field("fromNextStart", String.join(",", differences(after, ok.value())))
                    .write();
        }
    }

    private void logRejected(String reason) {
        log.event("settings")
                .field("file", file.toString())
                .field("rejected", reason)
                .write();
    }

    private static List<String> differences(EntrySettings a, EntrySettings b) {
        JsonNode left = Json.tree(a);
        JsonNode right = Json.tree(b);
        List<String> names = new ArrayList<>();
        left.fieldNames().forEachRemaining(n -> {
            if (!left.path(n).equals(right.path(n))) {
                names.add(n);
            }
        });
        return names;
    }
}
