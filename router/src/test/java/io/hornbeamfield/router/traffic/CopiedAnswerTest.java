package io.hornbeamfield.router.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpReply;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a refusal that a service repeats on a kept connection and that counts for the next call. */
final class CopiedAnswerTest {
    private static final String REFUSAL = "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy";

    private final TestRouter router = new TestRouter("r1-00000001");
    private ServerSocket service;

    @BeforeEach
    void start() throws IOException {
        service = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        run(this::accept);
        router.load.add("fees", "s1", "127.0.0.1:" + service.getLocalPort());
    }

    @AfterEach
    void stop() throws IOException {
        router.close();
        service.close();
    }

    private void accept() throws IOException {
        while (!service.isClosed()) {
            Socket connection = service.accept();
            run(() -> serve(connection));
        }
    }

    /** Refuses the first call of a connection, and repeats the refusal in front of the answers to all others. */
    private static void serve(Socket connection) throws IOException {
        try (connection) {
            OutputStream out = connection.getOutputStream();
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
            for (int calls = 0; ; calls++) {
                String line = in.readLine();
                String target = line == null ? "" : line;
                while (line != null && !line.isEmpty()) {
                    line = in.readLine();
                }
                if (line == null) {
                    return;
                }
                String answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
                boolean refuses = target.contains("refuse");
                out.write((refuses ? REFUSAL : calls > 0 ? REFUSAL + answer : answer)
                        .getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"GET", "PUT", "DELETE"})
    void anEarlierRefusalIsNotTheAnswerToTheNextCall(String method) {
        for (int i = 0; i < 4; i++) {
            assertThat(call(method, "/refuse").text()).contains("busy");
            HttpReply reply = call(method, "/prices");
            assertThat(reply.status()).isEqualTo(200);
            assertThat(reply.text()).isEqualTo("done");
        }
    }

    private HttpReply call(String method, String path) {
        return router.send(HttpCall.of(method, "http://127.0.0.1:" + router.traffic.port() + "/v1/services/fees" + path)
                .bearer("secret-key")
                .timeout(Duration.ofSeconds(10)));
    }

    private interface Io {
        void run() throws IOException;
    }

    private static void run(Io action) {
        Thread t = new Thread(() -> {
            try {
                action.run();
            } catch (IOException e) {
                // The socket was closed by the other side or by the end of the test.
                Thread.currentThread().interrupt();
            }
        });
        t.setDaemon(true);
        t.start();
    }
}
