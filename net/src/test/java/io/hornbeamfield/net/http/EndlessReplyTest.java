package io.hornbeamfield.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a server that sends without end and thereby uses up the memory or a thread of its client. */
final class EndlessReplyTest {
    private static final int PART_BYTES = 64 * 1024;

    private final HttpClient client = HttpClient.create("test");
    private ServerSocket server;
    private volatile String head = "";
    private volatile String part = "";

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread t = new Thread(this::serve);
        t.setDaemon(true);
        t.start();
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        server.close();
    }

    private void serve() {
        try (Socket connection = server.accept()) {
            connection.getInputStream().read();
            OutputStream out = connection.getOutputStream();
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            byte[] bytes = part.repeat(PART_BYTES / part.length()).getBytes(StandardCharsets.US_ASCII);
            while (true) {
                out.write(bytes);
            }
        } catch (IOException e) {
            // The client has closed the connection.
            Thread.currentThread().interrupt();
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
}
