package io.hornbeamfield.entry.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.entry.Timers;
import io.hornbeamfield.net.relay.Serial;
import java.time.Clock;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a timeout that ends an attempt before the answer that has arrived in the meantime is read. */
final class ServerTimeoutTest {
    private static final long DELAY_MS = 100;

    private final ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1);
    private final Serial serial = new Serial();
    private final Timers timers = new Timers(executor, serial);
    private final CountDownLatch ended = new CountDownLatch(1);

    @AfterEach
    void stop() {
        executor.shutdownNow();
    }

    private ServerTimeout startTimeout() {
        return ServerTimeout.start(Clock.systemUTC(), timers, DELAY_MS, ended::countDown);
    }

    @Test
    void inputIsReadBeforeATimeoutThatIsLate() throws InterruptedException {
        ServerTimeout timeout = startTimeout();
        AtomicBoolean read = new AtomicBoolean();
        serial.run(() -> {
            sleep(6 * DELAY_MS);
            // The timeout is due and waits for the serial executor; the input is read next.
            executor.execute(() -> serial.run(() -> {
                read.set(true);
                timeout.cancel();
            }));
        });
        assertThat(ended.await(10 * DELAY_MS, TimeUnit.MILLISECONDS)).isFalse();
        assertThat(read).isTrue();
    }

    @Test
    void aLateTimeoutIsNotExtendedForEver() throws InterruptedException {
        startTimeout();
        serial.run(() -> sleep(6 * DELAY_MS));
        assertThat(ended.await(10, TimeUnit.SECONDS)).isTrue();
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
