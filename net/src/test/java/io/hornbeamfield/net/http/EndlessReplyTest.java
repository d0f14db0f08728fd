package io.hornbeamfield.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a server that sends without end and thereby uses up the memory or a thread of its client. */
final class EndlessReplyTest {
    private static final int PART_BYTES = 64 * 1024;

    private final HttpClient client = HttpClient.create("test");
    private ServerSocket server;
    private volatile String head = "";
    private volatile String part = "";
    private volatile int parts = Integer.MAX_VALUE;
    private final CompletableFuture<@Nullable Void> serverSawTheEnd = new CompletableFuture<>();

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        run(this::accept);
    }

    private static void run(Runnable action) {
        Thread t = new Thread(action);
        t.setDaemon(true);
        t.start();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket connection = server.accept();
                run(() -> serve(connection));
            } catch (IOException e) {
                // The test has ended.
                return;
            }
        }
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        server.close();
    }

    private void serve(Socket accepted) {
        try (Socket connection = accepted) {
            connection.getInputStream().read();
            OutputStream out = connection.getOutputStream();
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            byte[] bytes = part.repeat(PART_BYTES / part.length()).getBytes(StandardCharsets.US_ASCII);
            for (int i = 0; i < parts; i++) {
                out.write(bytes);
            }
            connection.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            // The client has closed the connection.
            serverSawTheEnd.complete(null);
        }
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = ';',
            value = {
                "a body; HTTP/1.1 200 OK~~; x",
                "a body in chunks of a byte; HTTP/1.1 200 OK~Transfer-Encoding: chunked~~; 1~x~",
                "interim heads; ''; HTTP/1.1 103 Early Hints~Link: x~~",
            })
    void aReplyWithoutAnEndFailsSoon(String name, String replyHead, String replyPart) {
        head = replyHead.replace("~", "\r\n");
        part = replyPart.replace("~", "\r\n");
        long start = System.nanoTime();
        HttpCall call = HttpCall.get("http://127.0.0.1:" + server.getLocalPort() + "/")
                .timeout(Duration.ofSeconds(20))
                .build();
        assertThat(client.send(call).handle((reply, failure) -> failure).join())
                .isInstanceOfSatisfying(
                        CallFailure.class, f -> assertThat(f.kind()).isEqualTo(CallFailure.Kind.BROKEN));
        assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(Duration.ofSeconds(10));
    }

    /** Guards against many replies that are within the limit of each and together use up the memory. */
    @Test
    void manyRepliesAtOnceOccupyNoMoreThanTheClientMayKeep() {
        head = "HTTP/1.1 200 OK\r\n\r\n";
        part = "x";
        parts = 8;
        long maxBytes = 2L * parts * PART_BYTES;
        try (HttpClient bounded = HttpClient.create("bounded", maxBytes)) {
            List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                replies.add(bounded.send(HttpCall.get("http://127.0.0.1:" + server.getLocalPort() + "/")
                        .timeout(Duration.ofSeconds(60))
                        .build()));
            }
            // Two replies fit in; each of the others ends one.
            CompletableFuture<?> sixFailed = new CompletableFuture<>();
            AtomicInteger broken = new AtomicInteger();
            replies.forEach(r -> r.whenComplete((reply, failure) -> {
                boolean isBroken = failure instanceof CallFailure f && f.kind() == CallFailure.Kind.BROKEN;
                if (isBroken && broken.incrementAndGet() == 6) {
                    sixFailed.complete(null);
                }
            }));
            assertThat(sixFailed).succeedsWithin(Duration.ofSeconds(10));
        }
    }

    /** Guards against a response that arrives faster than it is handled and waits in memory. */
    @Test
    void aResponseThatItsListenerCannotFollowFails() {
        head = "HTTP/1.1 200 OK\r\n\r\n";
        part = "x";
        BlockingQueue<Runnable> waiting = new LinkedBlockingQueue<>();
        CompletableFuture<CallFailure> failed = new CompletableFuture<>();
        AtomicLong received = new AtomicLong();
        client.open(
                HttpCall.get("http://127.0.0.1:" + server.getLocalPort() + "/").build(),
                waiting::add,
                new StreamListener() {
                    @Override
                    public void onHead(int status, Map<String, String> headers) {}

                    @Override
                    public void onData(byte[] chunk) {
                        received.addAndGet(chunk.length);
                    }

                    @Override
                    public void onEnd() {}

                    @Override
                    public void onFailure(CallFailure failure) {
                        failed.complete(failure);
                    }
                });
        assertThat(serverSawTheEnd).succeedsWithin(Duration.ofSeconds(10));
        waiting.forEach(Runnable::run);
        assertThat(failed).isCompletedWithValueMatching(f -> f.kind() == CallFailure.Kind.BROKEN);
        assertThat(received).hasValueLessThan(4 * 1024 * 1024);
    }
}
