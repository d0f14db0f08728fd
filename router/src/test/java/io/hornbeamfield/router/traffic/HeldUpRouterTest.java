package io.hornbeamfield.router.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.time.MonotonicClock;
import io.hornbeamfield.net.http.HttpReply;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that get their whole time again after a held-up router has not handled them. */
final class HeldUpRouterTest {
    /** More than the router has threads for callers. */
    private static final int CALLERS = 12;

    private static final String DEADLINE_MS = "500";
    private static final long HELD_UP_MS = 1_200;
    private static final int DEADLINE_PASSED = 3_002;

    private final HeldClock clock = new HeldClock();
    private final FakeEngine engine = new FakeEngine();
    private final TestRouter router = new TestRouter("router-1-aaaaaaaa", TestRouter.PRESET, clock);

    @AfterEach
    void stop() {
        clock.release();
        router.close();
        engine.close();
    }

    /** Clock that makes the threads for callers wait while they are held. */
    private static final class HeldClock extends Clock {
        private final Clock clock = MonotonicClock.start();
        private volatile CountDownLatch released = new CountDownLatch(0);

        void hold() {
            released = new CountDownLatch(1);
        }

        void release() {
            released.countDown();
        }

        @Override
        public Instant instant() {
            if (Thread.currentThread().getName().startsWith("callers-worker")) {
                try {
                    released.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            return clock.instant();
        }

        @Override
        public ZoneId getZone() {
            return clock.getZone();
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return clock.withZone(zone);
        }
    }

    @Test
    void requestsWhoseDeadlineHasPassedUnhandledDoNotRun() throws InterruptedException {
        router.load.add("models", "e1", engine.address());
        clock.hold();
        List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            replies.add(router.sendAsync(router.chat(false).header("Hornbeamfield-Deadline-Ms", DEADLINE_MS)));
        }
        TimeUnit.MILLISECONDS.sleep(HELD_UP_MS);
        clock.release();
        for (CompletableFuture<HttpReply> reply : replies) {
            assertThat(Sse.code(reply.join())).isEqualTo(DEADLINE_PASSED);
        }
        assertThat(engine.started).isEmpty();
    }

    @Test
    void requestsWhoseCallersHaveLeftUnhandledDoNotRun() throws IOException, InterruptedException {
        router.load.add("models", "e1", engine.address());
        byte[] body = TestRouter.chatBody(false);
        String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret-key\r\n"
                + "Content-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n";
        clock.hold();
        for (int i = 0; i < CALLERS; i++) {
            try (Socket s = new Socket(InetAddress.getLoopbackAddress(), router.traffic.port())) {
                s.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
                s.getOutputStream().write(body);
            }
        }
        TimeUnit.MILLISECONDS.sleep(HELD_UP_MS);
        clock.release();
        assertThat(Sse.code(router.send(router.chat(false).header("Hornbeamfield-Deadline-Ms", "0"))))
                .isEqualTo(DEADLINE_PASSED);
        TimeUnit.MILLISECONDS.sleep(HELD_UP_MS);
        assertThat(engine.started).isEmpty();
    }
}
