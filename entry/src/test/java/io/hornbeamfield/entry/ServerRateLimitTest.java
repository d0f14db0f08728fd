package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.InboundRequest;
import io.hornbeamfield.platform.standin.FakeBackendServer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a backend server that gets more requests from all instances together than the limit it names. */
final class ServerRateLimitTest {
    private static final int INSTANCES = 3;
    private static final double LIMIT_PER_SECOND = 4;
    private static final long CONTACT_MS = 3_000;
    private static final long WINDOW_MS = 4_000;
    private static final double ALLOWED_IN_WINDOW = 1.5 * LIMIT_PER_SECOND * WINDOW_MS / 1_000 + 5;
    private static final long DURATION_MS = 9_000;
    private static final long REQUEST_INTERVAL_MS = 40;

    private final EntryFixture fleet = new EntryFixture();
    private final List<Long> arrivalsMs = new CopyOnWriteArrayList<>();

    @AfterEach
    void stop() {
        fleet.close();
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void answerWithLimit(InboundRequest r) {
        arrivalsMs.add(nowMs());
        List<Header> headers = new ArrayList<>(FakeBackendServer.signedHeaders(r));
        headers.add(new Header("Server-Limit", Double.toString(LIMIT_PER_SECOND)));
        r.reply(200, headers, new byte[0]);
    }

    @Test
    void aServerThatNamesALimitGetsNoMoreThanItFromAllInstances() throws InterruptedException {
        fleet.runner("i-1", "plain").respondWith(this::answerWithLimit);
        fleet.runner("i-2", "plain");
        fleet.configure(1);
        for (int i = 0; i < INSTANCES; i++) {
            fleet.startReady();
        }
        long startMs = nowMs();
        for (int i = 0; nowMs() - startMs < DURATION_MS; i++) {
            String id = "X-Attempt-Id: r" + i;
            try (Caller caller = Caller.send(
                    fleet.address(i % INSTANCES), "GET", "/read/x", EntryFixture.KEY, id, EntryFixture.DEADLINE)) {
                assertThat(caller.status()).isEqualTo(200);
            }
            Thread.sleep(REQUEST_INTERVAL_MS);
        }
        long countedFromMs = arrivalsMs.get(0) + CONTACT_MS;
        assertThat(arrivalsMs.stream().filter(t -> t >= countedFromMs)).isNotEmpty();
        for (long from : arrivalsMs) {
            long inWindow = arrivalsMs.stream()
                    .filter(t -> t >= from && t < from + WINDOW_MS)
                    .count();
            if (from >= countedFromMs) {
                assertThat((double) inWindow).isLessThanOrEqualTo(ALLOWED_IN_WINDOW);
            }
        }
    }
}
