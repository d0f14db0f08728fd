package io.hornbeamfield.standins.faultproxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.json.Json;
import java.io.IOException;
import java.net.ConnectException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a proxy whose cuts and silences do not look like those of a network. */
class LinkFaultTest {
    private static final int SILENCE_MS = 300;
    private static final int ANSWER_TIMEOUT_MS = 10_000;

    private final FaultProxy proxy = FaultProxy.builder().start();
    private ServerSocket echo;
    private int port;

    @BeforeEach
    void startEcho() throws IOException {
        echo = new ServerSocket(0);
        Thread acceptor = new Thread(this::acceptAll);
        acceptor.setDaemon(true);
        acceptor.start();
        port = proxy.link("a-b", "127.0.0.1:0", "127.0.0.1:" + echo.getLocalPort());
    }

    private void acceptAll() {
        while (!echo.isClosed()) {
            try {
                Socket socket = echo.accept();
                Thread copier = new Thread(() -> copy(socket));
                copier.setDaemon(true);
                copier.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void copy(Socket socket) {
        try (socket) {
            socket.getInputStream().transferTo(socket.getOutputStream());
        } catch (IOException e) {
            // The test has closed the connection.
        }
    }

    @AfterEach
    void close() throws IOException {
        proxy.close();
        echo.close();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(ANSWER_TIMEOUT_MS);
        return socket;
    }

    private static void assertSilent(Socket socket, String text) throws IOException {
        socket.setSoTimeout(SILENCE_MS);
        assertThatThrownBy(() -> roundTrip(socket, text)).isInstanceOf(SocketTimeoutException.class);
        socket.setSoTimeout(ANSWER_TIMEOUT_MS);
    }

    private static String roundTrip(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        byte[] answer = socket.getInputStream().readNBytes(text.length());
        return new String(answer, StandardCharsets.UTF_8);
    }

    @Test
    void bytesPassBothWaysAndTheEndOfTheStreamToo() throws IOException {
        try (Socket socket = connect()) {
            assertThat(roundTrip(socket, "hello")).isEqualTo("hello");
            socket.shutdownOutput();
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    @Test
    void latencyIsAddedInEachDirection() throws IOException {
        proxy.set("a-b", new LinkFaults(30, 60, false, false, false));
        try (Socket socket = connect()) {
            long start = System.nanoTime();
            roundTrip(socket, "hello");
            assertThat(Duration.ofNanos(System.nanoTime() - start))
                    .isBetween(Duration.ofMillis(90), Duration.ofMillis(200));
        }
    }

    @Test
    void cutLinkClosesConnectionsAndRefusesNewOnesUntilItIsRestored() throws IOException {
        try (Socket socket = connect()) {
            roundTrip(socket, "a");
            proxy.set("a-b", LinkFaults.NONE.withCut(true));
            assertThatThrownBy(() -> roundTrip(socket, "b")).isInstanceOf(SocketException.class);
        }
        assertThatThrownBy(this::connect).isInstanceOf(ConnectException.class);
        proxy.set("a-b", LinkFaults.NONE);
        try (Socket socket = connect()) {
            assertThat(roundTrip(socket, "c")).isEqualTo("c");
        }
    }

    @Test
    void silentConnectionStaysOpenForEverWhileNewOnesWork() throws IOException {
        try (Socket old = connect();
                Socket fresh = silenceThenConnect(old)) {
            assertSilent(old, "b");
            assertThat(roundTrip(fresh, "c")).isEqualTo("c");
            proxy.set("a-b", LinkFaults.NONE);
            assertSilent(old, "d");
        }
    }

    private Socket silenceThenConnect(Socket old) throws IOException {
        roundTrip(old, "a");
        proxy.set("a-b", LinkFaults.NONE.withSilence(true, false));
        return connect();
    }

    @Test
    void newConnectionsCanBeSilentToo() throws IOException {
        proxy.set("a-b", LinkFaults.NONE.withSilence(true, true));
        try (Socket socket = connect()) {
            assertSilent(socket, "a");
        }
    }

    @Test
    void linksAreMadeAndResetOverHttp() throws IOException {
        try (HttpClient http = HttpClient.create("test");
                Socket socket = connect()) {
            roundTrip(socket, "a");
            String base = "http://127.0.0.1:" + proxy.port() + "/links/";
            http.send(HttpCall.put(base + "a-b").json("{\"reset\":true}").build())
                    .join();
            assertThatThrownBy(() -> roundTrip(socket, "b")).isInstanceOf(SocketException.class);
            var made = http.send(HttpCall.put(base + "new")
                            .json("{\"target\":\"127.0.0.1:" + echo.getLocalPort() + "\"}")
                            .build())
                    .join();
            port = Integer.parseInt(
                    Json.parse(made.body()).path("listen").asText().substring(10));
        }
        try (Socket socket = connect()) {
            assertThat(roundTrip(socket, "x")).isEqualTo("x");
        }
    }
}
