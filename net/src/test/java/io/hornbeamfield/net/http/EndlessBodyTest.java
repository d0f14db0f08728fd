package io.hornbeamfield.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against callers whose bodies use up the memory of a server. */
final class EndlessBodyTest {
    private static final int MAX_TOGETHER = 9 * 1024 * 1024;
    private static final Duration LIMIT = Duration.ofSeconds(12);

    private final HttpServer server = HttpServer.builder()
            .maxBodyBytesTogether(MAX_TOGETHER)
            .route("*", "/x", x -> x.replyJson(200, new byte[0]))
            .start();
    private final List<Socket> sockets = new ArrayList<>();

    @AfterEach
    void stop() throws IOException {
        for (Socket s : sockets) {
            s.close();
        }
        server.close();
    }

    /** Sends a body; the future completes with what the server sent when it has closed the connection. */
    private CompletableFuture<String> send(String header, String part, int parts) throws IOException {
        Socket s = new Socket(InetAddress.getLoopbackAddress(), server.port());
        sockets.add(s);
        CompletableFuture<String> end = new CompletableFuture<>();
        String head = "POST /x HTTP/1.1\r\nHost: h\r\n" + header + "\r\n\r\n";
        run(() -> write(s, head, part, parts));
        run(() -> end.complete(readAll(s)));
        return end;
    }

    private static void write(Socket s, String head, String part, int parts) {
        try {
            OutputStream out = s.getOutputStream();
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            for (int i = 0; i < parts; i++) {
                out.write(part.getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            // The server has closed the connection.
            Thread.currentThread().interrupt();
        }
    }

    private static String readAll(Socket s) {
        StringBuilder text = new StringBuilder();
        try {
            InputStream in = s.getInputStream();
            for (int b = in.read(); b >= 0; b = in.read()) {
                text.append((char) b);
            }
        } catch (IOException e) {
            text.append("[reset]");
        }
        return text.toString();
    }

    private static void run(Runnable action) {
        Thread t = new Thread(action);
        t.setDaemon(true);
        t.start();
    }

    @Test
    void aBodyWithoutAnEndClosesItsConnection() throws IOException {
        String chunk = "10000\r\n" + "x".repeat(0x10000) + "\r\n";
        assertThat(send("Transfer-Encoding: chunked", chunk, Integer.MAX_VALUE)).succeedsWithin(LIMIT);
    }

    @Test
    void manyBodiesAtOnceOccupyNoMoreThanTheServerMayKeep() throws IOException {
        AtomicInteger closed = new AtomicInteger();
        CompletableFuture<Void> sixClosed = new CompletableFuture<>();
        for (int i = 0; i < 8; i++) {
            send("Content-Length: 4000000", "x".repeat(100_000), 39).thenRun(() -> {
                if (closed.incrementAndGet() == 6) {
                    sixClosed.complete(null);
                }
            });
        }
        // Two bodies fit in; each of the others ends one.
        assertThat(sixClosed).succeedsWithin(LIMIT);
        assertThat(send("Connection: close\r\nContent-Length: 3", "abc", 1))
                .succeedsWithin(LIMIT)
                .satisfies(text -> assertThat(text).startsWith("HTTP/1.1 200"));
    }
}
