package io.hornbeamfield.net.http;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against one request timeout per idle connection when all idle connections have stopped responding but new
 * connections work.
 */
class SilentIdleConnectionTest {
    private static final int CONNECTIONS = 4;

    private final HttpClient client = HttpClient.create("test");
    private final AtomicInteger accepted = new AtomicInteger();
    private final CompletableFuture<Void> allAccepted = new CompletableFuture<>();
    private ServerSocket server;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        daemon(this::acceptAll);
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        server.close();
    }

    private static void daemon(Runnable task) {
        Thread t = new Thread(task);
        t.setDaemon(true);
        t.start();
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                int number = accepted.incrementAndGet();
                if (number == CONNECTIONS) {
                    allAccepted.complete(null);
                }
                daemon(() -> serve(socket, number));
            } catch (IOException e) {
                return;
            }
        }
    }

    /**
     * Serves a connection. Each of the first {@link #CONNECTIONS} connections answers one request, once all of them are
     * open, and nothing afterwards.
     */
    private void serve(Socket socket, int number) {
        try {
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), UTF_8));
            boolean stopsResponding = number <= CONNECTIONS;
            for (int requests = 0; ; requests++) {
                String line = in.readLine();
                while (line != null && !line.isEmpty()) {
                    line = in.readLine();
                }
                if (line == null || (stopsResponding && requests > 0)) {
                    return;
                }
                if (stopsResponding) {
                    allAccepted.join();
                }
                socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(UTF_8));
            }
        } catch (IOException e) {
            // The client closed the connection.
        }
    }

    private CompletableFuture<HttpReply> get() {
        return client.send(HttpCall.get("http://127.0.0.1:" + server.getLocalPort() + "/")
                .timeout(Duration.ofMillis(300))
                .build());
    }

    @Test
    void requestAfterATimeoutUsesANewConnection() {
        CompletableFuture.allOf(
                        IntStream.range(0, CONNECTIONS).mapToObj(i -> get()).toArray(CompletableFuture[]::new))
                .join();
        assertThatThrownBy(() -> get().join()).hasMessageContaining("got no answer within");
        assertThat(get().join().text()).isEqualTo("ok");
    }
}
