package io.hornbeamfield.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against requests that reach a server after their call was cancelled, out of the connection's buffers. */
final class CancelledCallTest {
    private static final int TIMEOUT_MS = 10_000;
    private static final int RECEIVE_BUFFER_BYTES = 4 * 1024;
    private static final int BODY_BYTES = 200 * 1024;

    private static final StreamListener IGNORING = new StreamListener() {
        @Override
        public void onHead(int status, Map<String, String> headers) {
            // No response is sent.
        }

        @Override
        public void onData(byte[] chunk) {
            // No response is sent.
        }

        @Override
        public void onEnd() {
            // No response is sent.
        }

        @Override
        public void onFailure(CallFailure failure) {
            // The test looks at what the server gets.
        }
    };

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

    @Test
    void aServerDoesNotGetTheRestOfACancelledCall() throws IOException, InterruptedException {
        try (ServerSocket server = new ServerSocket();
                HttpClient client = HttpClient.create("test")) {
            server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            server.setSoTimeout(TIMEOUT_MS);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            HttpCall call = HttpCall.post("http://127.0.0.1:" + server.getLocalPort() + "/x")
                    .body(new byte[BODY_BYTES])
                    .build();
            OpenStream stream = client.open(call, IGNORING);
            try (Socket connection = server.accept()) {
                connection.setSoTimeout(TIMEOUT_MS);
                connection.getInputStream().read();
                Thread.sleep(200);
                stream.cancel();
                assertThat(readAll(connection)).isLessThan(BODY_BYTES);
            }
        }
    }
}
