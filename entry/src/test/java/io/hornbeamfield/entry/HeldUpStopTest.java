package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.platform.standin.FakeBackendServer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against requests that are cut because threads of a stopping daemon run late. */
final class HeldUpStopTest {
    private static final long GRACE_MS = 3_000;

    /** Time after the start of the stop at which new requests are refused. */
    private static final long REFUSE_MS = 1_050;

    private final EntryFixture fleet = new EntryFixture();
    private final CountDownLatch held = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);

    @AfterEach
    void stop() {
        released.countDown();
        fleet.close();
    }

    private void holdUp() {
        held.countDown();
        try {
            assertThat(released.await(GRACE_MS, TimeUnit.MILLISECONDS)).isTrue();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private static void sleepUntil(long startNanos, long ms) throws InterruptedException {
        long leftNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(ms) - System.nanoTime();
        TimeUnit.NANOSECONDS.sleep(Math.max(0, leftNanos));
    }

    @Test
    void aRequestIsRefusedInTimeAlthoughTheControlThreadIsHeldUp(@TempDir Path directory)
            throws IOException, InterruptedException {
        FakeBackendServer server = fleet.runner("i-1", "plain");
        fleet.configure(1);
        fleet.graceMs(GRACE_MS);
        EntrySettings settings = fleet.newSettings(fleet.store.address());
        Path file = Files.writeString(directory.resolve("settings.json"), "{");
        ObservedLog log = new ObservedLog(line -> {
            if (line.contains("is not valid JSON")) {
                holdUp();
            }
        });
        try (EntryProcess entry = EntryProcess.start(file, settings, log)) {
            EntryFixture.await(() -> entry.blackboard().ready() && held.getCount() == 0);
            long startNanos = System.nanoTime();
            CompletableFuture<Void> stopped = entry.shutDown();
            sleepUntil(startNanos, REFUSE_MS + 200);
            try (KeptCaller caller = KeptCaller.connect(settings.callerAddress())) {
                caller.send(KeptCaller.request("/write/x", "late"));
                assertThat(caller.readAnswer()).startsWith("HTTP/1.1 503").contains("3003", "\"ran\":\"no\"");
            }
            released.countDown();
            stopped.orTimeout(GRACE_MS, TimeUnit.MILLISECONDS).join();
        }
        assertThat(server.receivedRequests()).isEmpty();
    }
}
