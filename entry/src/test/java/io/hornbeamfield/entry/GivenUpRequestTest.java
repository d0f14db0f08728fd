package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that reach a server after the daemon has given them up, out of the connection's buffers. */
final class GivenUpRequestTest {
    private static final int TIMEOUT_MS = 10_000;
    private static final int RECEIVE_BUFFER_BYTES = 4 * 1024;
    private static final int BODY_BYTES = 200 * 1024;
    private static final long DEADLINE_MS = 700;

    private final EntryFixture fleet = new EntryFixture();
    private final ServerSocket server = new ServerSocket();

    GivenUpRequestTest() throws IOException {}

    @BeforeEach
    void start() throws IOException {
        server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        server.setSoTimeout(TIMEOUT_MS);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        EntryFixture.register(fleet.store, "i-1", "plain", "127.0.0.1:" + server.getLocalPort());
        fleet.configure(1);
        fleet.startReady();
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
        server.close();
    }

    private static String request(String path) {
        return "POST " + path + " HTTP/1.1\r\nHost: api.example\r\n" + EntryFixture.KEY + "\r\nX-Attempt-Id: a1\r\n"
                + "X-Deadline-Ms: " + DEADLINE_MS + "\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n"
                + "b".repeat(BODY_BYTES);
    }

    /** Accepts connections until one has sent a part of a request of the caller; health checks are not answered. */
    private Socket acceptRequest() throws IOException {
        while (true) {
            Socket connection = server.accept();
            connection.setSoTimeout(TIMEOUT_MS);
            byte[] start = connection.getInputStream().readNBytes("POST".length());
            if (new String(start, StandardCharsets.ISO_8859_1).equals("POST")) {
                return connection;
            }
        }
    }

    private static int readAll(Socket connection) throws IOException {
        int bytes = 0;
        try {
            byte[] part = new byte[8_192];
            for (int n = 0; n >= 0; n = connection.getInputStream().read(part)) {
                bytes += n;
            }
        } catch (IOException reset) {
            assertThat(reset).hasMessageContaining("reset");
        }
        return bytes;
    }

    @ParameterizedTest
    @ValueSource(strings = {"/read/x", "/write/x"})
    void aServerDoesNotGetTheRestOfARequestWhoseDeadlineHasPassed(String path)
            throws IOException, InterruptedException {
        try (KeptCaller caller = KeptCaller.connect(fleet.address(0))) {
            caller.send(request(path));
            try (Socket connection = acceptRequest()) {
                assertThat(caller.readAnswer()).startsWith("HTTP/1.1 504");
                // The reset and the answer are sent by two threads.
                TimeUnit.MILLISECONDS.sleep(DEADLINE_MS / 2);
                assertThat(readAll(connection)).isLessThan(BODY_BYTES);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/read/x", "/write/x"})
    void aServerDoesNotGetTheRestOfARequestWhoseCallerHasLeft(String path) throws IOException, InterruptedException {
        try (KeptCaller caller = KeptCaller.connect(fleet.address(0))) {
            caller.send(request(path));
            try (Socket connection = acceptRequest()) {
                caller.close();
                TimeUnit.MILLISECONDS.sleep(DEADLINE_MS / 2);
                assertThat(readAll(connection)).isLessThan(BODY_BYTES);
            }
        }
    }
}
