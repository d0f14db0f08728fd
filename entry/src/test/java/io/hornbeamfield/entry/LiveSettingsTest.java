package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.standins.FreePorts;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against changes of the settings file that are ignored, partially applied, or that stop a daemon. */
final class LiveSettingsTest {
    private static final String TEMPLATE = """
            {"instance": "entry-1", "availabilityZone": "north", "callerAddress": "%s",
             "readinessAddress": "127.0.0.1:2", "directoryAddress": "127.0.0.1:3", "peerAddress": "127.0.0.1:4",
             "peerSecret": "secret", "metricsPort": 0, "storeAddress": "127.0.0.1:5", "graceSeconds": 8,
             "storeContactMs": 3000, "changeAdoptionMs": 2000,
             "retryRatio": %s, "retrySlack": 56, "retryWindowSeconds": 10, "addressTtlSeconds": 5}
            """;

    @TempDir
    private Path directory;

    private final List<String> lines = new CopyOnWriteArrayList<>();

    private final EventLog log = new EventLog() {
        @Override
        public Line event(String name) {
            return new Line(name, lines::add);
        }

        @Override
        public long dropped() {
            return 0;
        }
    };

    private Path write(String callerAddress, String retryRatio) throws IOException {
        Path file = directory.resolve("settings.json");
        Files.writeString(file, TEMPLATE.formatted(callerAddress, retryRatio));
        return file;
    }

    private static String quoted(String text) {
        return '"' + text + '"';
    }

    private LiveSettings start(Path file) throws IOException {
        Result<EntrySettings> read = EntrySettings.parse(Files.readAllBytes(file), "test");
        LiveSettings live = LiveSettings.of(file, ((Result.Ok<EntrySettings>) read).value(), log);
        live.reloadIfChanged();
        return live;
    }

    @Test
    void aChangedLimitTakesEffectAtTheNextReload() throws IOException {
        LiveSettings live = start(write("127.0.0.1:1", "0.2"));
        write("127.0.0.1:1", "0.5");
        live.reloadIfChanged();
        live.reloadIfChanged();

        assertThat(live.get().retryRatio()).isEqualTo(0.5);
        assertThat(lines).hasSize(2);
        assertThat(lines.get(1)).contains("\"changed\":\"retryRatio\"");
    }

    @Test
    void aChangedAddressTakesEffectAtTheNextStart() throws IOException {
        LiveSettings live = start(write("127.0.0.1:1", "0.2"));
        write("127.0.0.1:9", "0.3");
        live.reloadIfChanged();

        assertThat(live.get().callerAddress()).isEqualTo("127.0.0.1:1");
        assertThat(live.get().retryRatio()).isEqualTo(0.3);
        assertThat(lines.get(1)).contains("\"fromNextStart\":\"callerAddress\"");
    }

    @Test
    void anUnusableFileChangesNothingAndIsReportedOnce() throws IOException {
        Path file = write("127.0.0.1:1", "0.2");
        LiveSettings live = start(file);
        write("127.0.0.1:1", "-1");
        live.reloadIfChanged();
        live.reloadIfChanged();
        Files.write(file, "{".getBytes(StandardCharsets.UTF_8));
        live.reloadIfChanged();
        Files.delete(file);
        live.reloadIfChanged();
        live.reloadIfChanged();

        assertThat(live.get().retryRatio()).isEqualTo(0.2);
        assertThat(lines).hasSize(4);
        assertThat(lines.get(1)).contains("retryRatio", "rejected");
        assertThat(lines.get(2)).contains("not valid JSON");
        assertThat(lines.get(3)).contains("cannot be read");
    }

    /** The daemon detects a change without a signal. */
    @Test
    void aRunningDaemonAppliesAChangedFileWithinSeconds() throws IOException {
        Path file = write(FreePorts.freeAddress(), "0.2");
        String json = Files.readString(file)
                .replace("\"127.0.0.1:2\"", quoted(FreePorts.freeAddress()))
                .replace("\"127.0.0.1:3\"", quoted(FreePorts.freeAddress()))
                .replace("\"127.0.0.1:4\"", quoted(FreePorts.freeAddress()));
        Files.writeString(file, json);
        Result<EntrySettings> read = EntrySettings.load(file);
        try (EntryProcess entry = EntryProcess.start(file, ((Result.Ok<EntrySettings>) read).value(), log)) {
            Files.writeString(file, json.replace("\"retrySlack\": 56", "\"retrySlack\": 70"));
            EntryFixture.await(() -> lines.stream().anyMatch(l -> l.contains("\"changed\":\"retrySlack\"")));
            assertThat(entry.blackboard().ready()).isFalse();
        }
    }
}
