package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.platform.standin.FakeBackendServer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against requests without an answer after an error in the handling of one request. */
final class HandlingErrorTest {
    private static final long GRACE_MS = 3_000;
    private static final String FAILING = "failing";

    private final EntryFixture fleet = new EntryFixture();

    @AfterEach
    void stop() {
        fleet.close();
    }

    private EntryProcess startReady(Consumer<String> onLogLine) {
        fleet.graceMs(GRACE_MS);
        fleet.configure(1);
        EntryProcess entry = fleet.start(new ObservedLog(onLogLine));
        EntryFixture.await(() -> entry.blackboard().ready());
        return entry;
    }

    private static void failIfRequestEnds(String line) {
        if (line.contains("\"event\":\"request\"") && line.contains(FAILING)) {
            throw new IllegalStateException("The test lets the end of a request fail.");
        }
    }

    @Test
    void aStopThatFailsToEndOneRequestAnswersAllOfThemAndEnds() throws IOException {
        FakeBackendServer server = fleet.runner("i-1", "plain");
        server.respondWith(r -> {});
        EntryProcess entry = startReady(HandlingErrorTest::failIfRequestEnds);
        try (KeptCaller first = KeptCaller.connect(fleet.address(0));
                KeptCaller second = KeptCaller.connect(fleet.address(0))) {
            first.send(KeptCaller.request("/write/x", FAILING));
            EntryFixture.await(() -> server.receivedRequests().size() == 1);
            second.send(KeptCaller.request("/write/x", "w2"));
            EntryFixture.await(() -> server.receivedRequests().size() == 2);
            entry.shutDown().orTimeout(GRACE_MS, TimeUnit.MILLISECONDS).join();
            assertThat(first.readAnswer()).startsWith("HTTP/1.1 504").contains("\"ran\":\"unknown\"");
            assertThat(second.readAnswer()).startsWith("HTTP/1.1 504").contains("\"ran\":\"unknown\"");
        }
    }

    @Test
    void anAnswerOfAServerReachesItsCallerAlthoughRecordingItFails() throws IOException {
        fleet.runner("i-1", "plain");
        startReady(HandlingErrorTest::failIfRequestEnds);
        try (KeptCaller caller = KeptCaller.connect(fleet.address(0))) {
            caller.send(KeptCaller.request("/write/x", FAILING));
            assertThat(caller.readAnswer()).startsWith("HTTP/1.1 200").endsWith("done by i-1");
        }
    }

    /** Guards against a grace period that a stopping daemon never learns of. */
    @Test
    void theSettingsAreReadAgainAfterOneReadingFailed(@TempDir Path directory) throws IOException {
        EntrySettings settings = fleet.newSettings(fleet.store.address());
        Path file = Files.writeString(directory.resolve("settings.json"), "{");
        ObservedLog log = new ObservedLog(line -> {
            if (line.contains("rejected") && line.contains("is not valid JSON")) {
                throw new IllegalStateException("The test lets the reading of the settings fail.");
            }
        });
        try (EntryProcess entry = EntryProcess.start(file, settings, log)) {
            EntryFixture.await(() -> log.lines().stream().anyMatch(l -> l.contains("is not valid JSON")));
            assertThat(entry.blackboard().stopping()).isFalse();
            Files.writeString(file, "{}");
            EntryFixture.await(() -> log.lines().stream().anyMatch(l -> l.contains("is missing")));
        }
    }

    @Test
    void aRefusalReachesItsCallerAlthoughRecordingItFails() throws IOException {
        startReady(HandlingErrorTest::failIfRequestEnds);
        try (KeptCaller caller = KeptCaller.connect(fleet.address(0))) {
            caller.send(KeptCaller.request("/none/x", FAILING));
            assertThat(caller.readAnswer()).startsWith("HTTP/1.1 404");
        }
    }
}
