package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.relay.InboundRequest;
import io.hornbeamfield.platform.standin.FakeBackendServer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
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

    /** Time after the start of the stop at which requests in progress are ended. */
    private static final long END_MS = 2_700;

    private static final String HOLDING = "holding";
    private static final int CALLERS = 40;

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

    @Test
    void answersThatArriveWhileTheDaemonIsHeldUpAreDelivered() throws IOException, InterruptedException {
        List<InboundRequest> waiting = new CopyOnWriteArrayList<>();
        FakeBackendServer server = fleet.runner("i-1", "plain");
        server.respondWith(r -> {
            if (HOLDING.equals(r.header("X-Attempt-Id"))) {
                FakeBackendServer.answer(r, 200, "done by i-1");
            } else {
                waiting.add(r);
            }
        });
        fleet.configure(1);
        fleet.graceMs(GRACE_MS);
        EntryProcess entry = fleet.start(new ObservedLog(line -> {
            if (line.contains("\"event\":\"request\"") && line.contains(HOLDING)) {
                holdUp();
            }
        }));
        // Until it knows that it is alone, the daemon opens fewer connections to a server.
        EntryFixture.await(
                () -> entry.blackboard().ready() && entry.blackboard().instanceCount() == 1);
        List<KeptCaller> callers = new ArrayList<>();
        try (KeptCaller holding = KeptCaller.connect(fleet.address(0))) {
            for (int i = 0; i < CALLERS; i++) {
                KeptCaller caller = KeptCaller.connect(fleet.address(0));
                callers.add(caller);
                caller.send(KeptCaller.request("/write/x", "w" + i));
            }
            EntryFixture.await(() -> waiting.size() == CALLERS);
            long startNanos = System.nanoTime();
            entry.shutDown();
            holding.send(KeptCaller.request("/write/x", HOLDING));
            assertThat(held.await(GRACE_MS, TimeUnit.MILLISECONDS)).isTrue();
            waiting.forEach(r -> FakeBackendServer.answer(r, 200, "done by i-1"));
            sleepUntil(startNanos, END_MS + 50);
            released.countDown();
            for (KeptCaller caller : callers) {
                assertThat(caller.readAnswer()).startsWith("HTTP/1.1 200").endsWith("done by i-1");
            }
        } finally {
            callers.forEach(KeptCaller::close);
        }
    }
}
