package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.platform.standin.FakeBackendServer;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against delivering a stream as complete that its server broke off, when it ends with its connection. */
final class StreamWithoutLengthTest {
    private final EntryFixture fleet = new EntryFixture();
    private ServerSocket server;
    private volatile String body = "";

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread t = new Thread(this::serve);
        t.setDaemon(true);
        t.start();
        ObjectNode entry = Json.mapper().createObjectNode();
        entry.put("service", "model").put("address", "127.0.0.1:" + server.getLocalPort());
        entry.put("zone", "north").put("slots", 6).put("state", "ready").put("born", 1L);
        fleet.store.put("servers", "i-1", entry);
        fleet.configure(1);
        fleet.startReady();
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
        server.close();
    }

    private void serve() {
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                String line = in.readLine();
                while (line != null && !line.isEmpty()) {
                    line = in.readLine();
                }
                in.skip("body".length());
                String head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Runner-Signature: s\r\n\r\n";
                socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
            } catch (IOException e) {
                // The socket is closed at the end of the test, or a connection ended early.
                continue;
            }
        }
    }

    @Test
    void aStreamThatEndsInsideAnEventIsBroken() {
        body = "id: 1\ndata: piece 1\n\nid: 2\nda";
        assertThat(fleet.call("POST", "/report/x", "X-Token-Counts: 10,10").all())
                .contains("piece 1")
                .doesNotContain("id: 2")
                .doesNotContain("0\r\n\r\n");
    }

    @Test
    void aStreamThatEndsBeforeItsFirstEventIsBroken() {
        assertThat(fleet.call("POST", "/report/x", "X-Token-Counts: 10,10").status())
                .isEqualTo(502);
    }

    @Test
    void aStreamThatEndsAfterAnEventIsComplete() {
        body = "id: 1\ndata: piece 1\n\n";
        assertThat(fleet.call("POST", "/report/x", "X-Token-Counts: 10,10").all())
                .contains("piece 1")
                .contains("0\r\n\r\n");
    }

    @Test
    void aStreamThatEndsInsideAnEventIsResumedAtAnotherServer() {
        body = "id: 1\ndata: piece 1\n\nid: 2\nda";
        fleet.runner("i-2", "model").respondWith(r -> {
            r.start(200, FakeBackendServer.signedHeaders(r));
            long next = r.header("Last-Event-Id") == null ? 1 : 2;
            for (long i = next; i <= 2; i++) {
                r.write(FakeBackendServer.event(i));
            }
            r.end();
        });
        EntryFixture.await(
                () -> fleet.entries.get(0).blackboard().servers("model").size() == 2);
        for (int i = 0; i < 4; i++) {
            assertThat(fleet.call("POST", "/chat/x", "X-Token-Counts: 10,10").all())
                    .contains("piece 1", "piece 2", "0\r\n\r\n");
        }
    }
}
