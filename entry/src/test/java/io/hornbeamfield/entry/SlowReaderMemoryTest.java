package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against answers that use up the memory of a daemon while their callers read slowly or not at all. */
final class SlowReaderMemoryTest {
    private static final int ANSWER_BYTES = 6 * 1024 * 1024;
    private static final int CALLERS = 60;
    private static final int LOOKUPS = 5;

    private final EntryFixture fleet = new EntryFixture();
    private final List<Socket> sockets = new ArrayList<>();
    private EntrySettings settings;
    private RawServer server;
    private DaemonProcess daemon;

    @TempDir
    private Path directory;

    @AfterEach
    void stop() throws IOException {
        daemon.close();
        for (Socket s : sockets) {
            s.close();
        }
        server.close();
        fleet.close();
    }

    private void start() {
        server = RawServer.start(fleet.store, "i-large", "plain", (head, out) -> {
            RawServer.write(
                    out,
                    "HTTP/1.1 200 OK\r\n" + RawServer.signed(head) + "Content-Length: " + ANSWER_BYTES + "\r\n\r\n");
            out.write(new byte[ANSWER_BYTES]);
            return true;
        });
        fleet.runner("i-sound", "sound");
        ObjectNode config = fleet.config(1);
        // Without workspaces no request waits for tokens from the store.
        config.remove("tenants");
        fleet.route(config.withArray("routes"), "lookup", "idempotent", "sound", 2, false);
        config.withArray("services")
                .addObject()
                .put("name", "sound")
                .put("health-path", "/healthz")
                .put("max-conns", 100);
        settings = fleet.newSettings(fleet.store.address());
        fleet.store.put("config", "main", config);
        daemon = DaemonProcess.start(settings, directory);
        EntryFixture.await(this::isServing);
    }

    private boolean isServing() {
        assertThat(daemon.isAlive()).as(daemon.outputEnd()).isTrue();
        return call("/lookup/x").status() == 200;
    }

    private Socket send(String path, String connection) throws IOException {
        int colon = settings.callerAddress().lastIndexOf(':');
        Socket s = new Socket(
                InetAddress.getLoopbackAddress(),
                Integer.parseInt(settings.callerAddress().substring(colon + 1)));
        sockets.add(s);
        s.setSoTimeout(15_000);
        String request = "GET " + path + " HTTP/1.1\r\nHost: api.example\r\n" + EntryFixture.KEY
                + "\r\nX-Attempt-Id: a\r\nX-Deadline-Ms: 8000\r\nConnection: " + connection + "\r\n\r\n";
        s.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return s;
    }

    private ResponseEnd call(String path) {
        try (Socket s = send(path, "close")) {
            return ResponseEnd.of(s.getInputStream());
        } catch (IOException e) {
            return new ResponseEnd("", 0, "");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"close", "keep-alive"})
    void largeAnswersToCallersThatDoNotReadLeaveTheDaemonRunning(String connection) throws Exception {
        start();
        for (int i = 0; i < CALLERS; i++) {
            Socket caller = send("/read/large", connection);
            // One after the other, so that the limit of answers that are being collected does not apply.
            assertThat(caller.getInputStream().read()).as(daemon.outputEnd()).isEqualTo('H');
        }
        for (int i = 0; i < LOOKUPS; i++) {
            assertThat(call("/lookup/x").status()).as(daemon.outputEnd()).isEqualTo(200);
        }
        assertThat(daemon.isAlive()).as(daemon.outputEnd()).isTrue();
        ResponseEnd read = call("/read/large");
        assertThat(read.status()).as(daemon.outputEnd()).isEqualTo(200);
        assertThat(read.looksComplete()).isTrue();
    }
}
