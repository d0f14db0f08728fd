package io.hornbeamfield.net.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpClient;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.zip.GZIPOutputStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a small response that becomes a thousand times larger when it is decompressed. */
final class CompressedResponseTest {
    private static final int CONTENT_BYTES = 4 * 1024 * 1024;

    private final RelayTransport transport = RelayTransport.start("test", new Serial());
    private final byte[] compressed = compress();
    private ServerSocket server;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread t = new Thread(this::serve);
        t.setDaemon(true);
        t.start();
    }

    @AfterEach
    void stop() throws IOException {
        transport.close();
        server.close();
    }

    private static byte[] compress() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(out)) {
            gzip.write(new byte[CONTENT_BYTES]);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        return out.toByteArray();
    }

    private void serve() {
        try (Socket connection = server.accept()) {
            connection.getInputStream().read();
            OutputStream out = connection.getOutputStream();
            String head =
                    "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: " + compressed.length + "\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            out.write(compressed);
            connection.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            // The client has closed the connection.
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void theRelayPassesTheBodyOnAsReceived() throws Exception {
        Response response = new Response();
        transport.connect("127.0.0.1:" + server.getLocalPort(), response);
        assertThat(response.body.get(10, TimeUnit.SECONDS)).isEqualTo(compressed);
    }

    @Test
    void theClientReturnsTheBodyAsReceived() {
        try (HttpClient client = HttpClient.create("test")) {
            HttpCall call = HttpCall.get("http://127.0.0.1:" + server.getLocalPort() + "/")
                    .build();
            assertThat(client.send(call).join().body()).isEqualTo(compressed);
        }
    }

    private static final class Response implements ConnectListener, OutboundListener {
        private final ByteArrayOutputStream received = new ByteArrayOutputStream();
        final CompletableFuture<byte[]> body = new CompletableFuture<>();

        @Override
        public void onConnected(OutboundConnection connection) {
            connection.send(new OutboundRequest("GET", "/", List.of(new Header("Host", "h")), new byte[0]), this);
        }

        @Override
        public void onFailed(String reason) {
            body.completeExceptionally(new IOException(reason));
        }

        @Override
        public void onHead(int status, List<Header> headers) {}

        @Override
        public void onData(byte[] part) {
            received.writeBytes(part);
        }

        @Override
        public void onEnd(boolean reusable) {
            body.complete(received.toByteArray());
        }

        @Override
        public void onBroken(String reason) {
            body.completeExceptionally(new IOException(reason));
        }
    }
}
