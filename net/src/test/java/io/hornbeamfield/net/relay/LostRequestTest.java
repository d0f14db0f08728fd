package io.hornbeamfield.net.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that are handled while their connection is closed, so that they are never answered. */
final class LostRequestTest {
    private static final int TIMEOUT_MS = 10_000;
    private static final long HELD_UP_MS = 400;
    private static final int CALLERS = 40;
    private static final InboundLimits LONG_LIMITS = new InboundLimits(4_096, 1_000, 60_000, 60_000);
    private static final InboundLimits SHORT_LIMITS = new InboundLimits(4_096, 1_000, 60_000, HELD_UP_MS / 2);
    private static final byte[] ANSWER = "answered".getBytes(StandardCharsets.ISO_8859_1);

    private final Serial serial = new Serial();
    private final RelayTransport transport = RelayTransport.start("test", serial);
    private final List<Socket> sockets = new ArrayList<>();
    private final AtomicInteger handled = new AtomicInteger();
    private volatile InboundLimits limits = LONG_LIMITS;

    @AfterEach
    void stop() throws IOException {
        transport.close();
        for (Socket s : sockets) {
            s.close();
        }
    }

    private void answer(InboundRequest request) {
        handled.incrementAndGet();
        request.reply(200, List.of(), ANSWER);
    }

    private Socket connect(int port) throws IOException {
        Socket s = new Socket(InetAddress.getLoopbackAddress(), port);
        s.setSoTimeout(TIMEOUT_MS);
        s.setTcpNoDelay(true);
        sockets.add(s);
        return s;
    }

    private static void send(Socket s, String path) throws IOException {
        s.getOutputStream()
                .write(("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns the beginning and the end of what arrives, up to the end of an answer or of the connection. */
    private static String readAnswer(Socket s) throws IOException {
        StringBuilder text = new StringBuilder();
        byte[] part = new byte[8_192];
        try {
            for (int n = s.getInputStream().read(part);
                    n >= 0;
                    n = s.getInputStream().read(part)) {
                text.append(new String(part, 0, n, StandardCharsets.ISO_8859_1));
                if (text.length() > 2 * part.length) {
                    text.delete(part.length, text.length() - part.length);
                }
                if (text.lastIndexOf("answered") == text.length() - "answered".length()) {
                    break;
                }
            }
        } catch (IOException reset) {
            return text + "(" + reset.getMessage() + ")";
        }
        return text.toString();
    }

    private List<Socket> keptConnections(int port, int count) throws IOException {
        List<Socket> kept = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Socket s = connect(port);
            send(s, "/first");
            assertThat(readAnswer(s)).endsWith("answered");
            kept.add(s);
        }
        return kept;
    }

    private void holdUp(Runnable inReadingThread) throws IOException, InterruptedException {
        CountDownLatch held = new CountDownLatch(1);
        int port = transport.listen("127.0.0.1:0", () -> LONG_LIMITS, request -> {
            held.countDown();
            inReadingThread.run();
            answer(request);
        });
        send(connect(port), "/slow");
        assertThat(held.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
    }

    private static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void aRequestThatArrivedInTimeIsServedAfterTheProcessWasHeldUp() throws Exception {
        Socket kept = keptConnections(transport.listen("127.0.0.1:0", () -> SHORT_LIMITS, this::answer), 1)
                .get(0);
        CountDownLatch sent = new CountDownLatch(1);
        holdUp(() -> {
            sleep(HELD_UP_MS);
            await(sent);
            transport.sweep();
        });
        send(kept, "/second");
        sent.countDown();
        assertThat(readAnswer(kept)).startsWith("HTTP/1.1 200").endsWith("answered");
    }

    /** Guards against new connections that each wait until all input of the others has been handled once more. */
    @Test
    void connectionsThatArriveWhileTheProcessIsHeldUpAreAcceptedTogether() throws Exception {
        AtomicInteger open = new AtomicInteger();
        int port = transport.listen("127.0.0.1:0", () -> LONG_LIMITS, request -> {
            open.compareAndSet(0, transport.inboundConnections());
            answer(request);
        });
        CountDownLatch sent = new CountDownLatch(1);
        holdUp(() -> await(sent));
        List<Socket> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Socket s = connect(port);
            send(s, "/new");
            callers.add(s);
        }
        sent.countDown();
        for (Socket s : callers) {
            assertThat(readAnswer(s)).startsWith("HTTP/1.1 200").endsWith("answered");
        }
        assertThat(open.get()).isGreaterThanOrEqualTo(CALLERS);
    }

    @Test
    void aRequestThatArrivedBeforeIdleConnectionsAreClosedIsServed() throws Exception {
        Socket kept = keptConnections(transport.listen("127.0.0.1:0", () -> LONG_LIMITS, this::answer), 1)
                .get(0);
        CountDownLatch sent = new CountDownLatch(1);
        holdUp(() -> {
            transport.closeIdle();
            await(sent);
        });
        send(kept, "/second");
        sent.countDown();
        assertThat(readAnswer(kept)).startsWith("HTTP/1.1 200").endsWith("answered");
    }

    /** The reading thread waits for the sweep with the first request, and finds the others after it. */
    @Test
    void everyRequestThatIsHandledWhileTheIdleLimitIsLoweredIsAnswered() throws Exception {
        List<Socket> kept = keptConnections(transport.listen("127.0.0.1:0", () -> limits, this::answer), 20);
        int before = handled.get();
        CountDownLatch sent = new CountDownLatch(1);
        holdUp(() -> await(sent));
        Thread control = new Thread(() -> serial.run(() -> {
            sleep(HELD_UP_MS);
            limits = new InboundLimits(4_096, 1_000, 60_000, 1);
            transport.sweep();
        }));
        control.start();
        sleep(50);
        for (Socket s : kept) {
            send(s, "/second");
        }
        sent.countDown();
        int answered = 0;
        for (Socket s : kept) {
            answered += readAnswer(s).endsWith("answered") ? 1 : 0;
        }
        control.join();
        // All of them were in their sockets before the limit was lowered.
        assertThat(answered).isEqualTo(kept.size());
        // The request by which the reading thread is held up counts, too.
        assertThat(handled.get() - before - 1).isEqualTo(answered);
    }

    @Test
    void aCallerThatIsStillReadingItsAnswerIsNotIdle() throws Exception {
        byte[] large = "x".repeat(12_000_000).getBytes(StandardCharsets.ISO_8859_1);
        int port = transport.listen("127.0.0.1:0", () -> SHORT_LIMITS, r -> {
            if (r.path().equals("/large")) {
                r.reply(200, List.of(), large);
            } else {
                answer(r);
            }
        });
        Socket s = connect(port);
        send(s, "/large");
        sleep(HELD_UP_MS);
        transport.sweep();
        sleep(50);
        send(s, "/second");
        assertThat(readAnswer(s)).endsWith("answered");
    }
}
