package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A daemon whose traffic thread waits where it logs the end of one request, while input arrives that it cannot read.
 */
final class HeldUpDaemon implements AutoCloseable {
    private static final String HOLDING = "holding";
    private static final long MAX_HOLD_MS = 10_000;

    private final EntryFixture fleet;
    private final CountDownLatch held = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private final ObservedLog log = new ObservedLog(line -> {
        if (line.contains("\"event\":\"request\"") && line.contains(HOLDING)) {
            waitUntilReleased();
        }
    });

    private HeldUpDaemon(EntryFixture fleet) {
        this.fleet = fleet;
    }

    /** Starts a daemon and waits until it is ready and knows its servers. */
    static HeldUpDaemon startReady(EntryFixture fleet) {
        HeldUpDaemon daemon = new HeldUpDaemon(fleet);
        EntryProcess entry = fleet.start(daemon.log);
        // Until it knows that it is alone, the daemon opens fewer connections to a server.
        EntryFixture.await(
                () -> entry.blackboard().ready() && entry.blackboard().instanceCount() == 1);
        return daemon;
    }

    private void waitUntilReleased() {
        held.countDown();
        try {
            assertThat(released.await(MAX_HOLD_MS, TimeUnit.MILLISECONDS)).isTrue();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Holds the traffic thread up while an action runs and for the given time in all. */
    void holdUp(long ms, Action meanwhile) throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        try (KeptCaller holding = KeptCaller.connect(fleet.address(0))) {
            holding.send(KeptCaller.request("/none/x", HOLDING));
            assertThat(held.await(MAX_HOLD_MS, TimeUnit.MILLISECONDS)).isTrue();
            meanwhile.run();
            TimeUnit.NANOSECONDS.sleep(TimeUnit.MILLISECONDS.toNanos(ms) - (System.nanoTime() - startNanos));
            released.countDown();
            assertThat(holding.readAnswer()).startsWith("HTTP/1.1 404");
        }
    }

    ObservedLog log() {
        return log;
    }

    /** What happens while the daemon is held up. */
    @FunctionalInterface
    interface Action {
        void run() throws IOException, InterruptedException;
    }

    @Override
    public void close() {
        released.countDown();
    }
}
