package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against an answer without a length that counts as complete although its server reset the connection while the
 * upload was still being written.
 */
final class AnswerDuringUploadTest {
    /** More than the buffers of both sockets take. */
    private static final int LARGE_UPLOAD_BYTES = 16 * 1024 * 1024;

    private static final int SMALL_UPLOAD_BYTES = 100_000;
    private static final int RECEIVE_BUFFER_BYTES = 4 * 1024;
    private static final int TIMEOUT_MS = 20_000;

    private final EntryFixture fleet = new EntryFixture();
    private final ServerSocket server = new ServerSocket();

    AnswerDuringUploadTest() throws IOException {}

    /** How a server ends the connection after a part of its answer. */
    private enum End {
        RESET_AT_ONCE,
        RESET_LATER,
        /** The daemon may see an orderly end before the reset, or in its place if a write got the error. */
        CLOSED_WITH_UNREAD_INPUT
    }

    @BeforeEach
    void listen() throws IOException {
        server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        // The tests take longer than half of the usual objective, for which a request waits for tokens.
        fleet.objectiveMs(4_000);
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
        server.close();
    }

    private void start(AnsweredRoute route) {
        EntryFixture.register(fleet.store, "i-1", route.service, "127.0.0.1:" + server.getLocalPort());
        ObjectNode config = fleet.config(1);
        ((ObjectNode) config.path("limits")).put("max-body-bytes", LARGE_UPLOAD_BYTES);
        fleet.store.put("config", "main", config);
        fleet.startReady();
    }

    static Stream<Arguments> routesAndEnds() {
        return Stream.of(AnsweredRoute.values())
                .flatMap(route -> Stream.of(End.values()).map(end -> Arguments.of(route, end)));
    }

    private static String upload(AnsweredRoute route, int bytes) {
        return "POST " + route.path + " HTTP/1.1\r\nHost: api.example\r\n" + EntryFixture.KEY + "\r\n" + EntryFixture.ID
                + "\r\n" + EntryFixture.DEADLINE + "\r\nConnection: close\r\nContent-Length: " + bytes
                + "\r\n\r\n" + "b".repeat(bytes);
    }

    private static String head(AnsweredRoute route, String requestHead) {
        String type = route.stream ? "text/event-stream" : "text/plain";
        return "HTTP/1.1 200 OK\r\n" + RawServer.signed(requestHead) + "Content-Type: " + type + "\r\n\r\n";
    }

    /** Answers the next upload before it has been read, with a part of the answer. */
    private void answerInPart(AnsweredRoute route, End end) throws IOException, InterruptedException {
        try (Socket connection = acceptUpload(route)) {
            String head = readHead(connection.getInputStream());
            RawServer.write(connection.getOutputStream(), head(route, head) + route.piece(1));
            if (end != End.RESET_AT_ONCE) {
                TimeUnit.MILLISECONDS.sleep(100);
            }
            if (end != End.CLOSED_WITH_UNREAD_INPUT) {
                connection.setSoLinger(true, 0);
            }
        }
    }

    private Socket acceptUpload(AnsweredRoute route) throws IOException {
        server.setSoTimeout(TIMEOUT_MS);
        while (true) {
            Socket connection = server.accept();
            connection.setSoTimeout(TIMEOUT_MS);
            byte[] method = connection.getInputStream().readNBytes("POST".length());
            if (new String(method, StandardCharsets.ISO_8859_1).equals("POST")) {
                return connection;
            }
            connection.close();
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.read());
        }
        return head.toString();
    }

    private ReceivedAnswer receive(Socket caller) throws IOException {
        StringBuilder text = new StringBuilder();
        try {
            byte[] part = new byte[8_192];
            InputStream in = caller.getInputStream();
            for (int n = in.read(part); n >= 0; n = in.read(part)) {
                text.append(new String(part, 0, n, StandardCharsets.ISO_8859_1));
            }
        } catch (SocketException e) {
            text.append("[connection reset]");
        }
        return ReceivedAnswer.of(text.toString());
    }

    private Socket sendUpload(AnsweredRoute route, int bytes) throws IOException {
        String address = fleet.address(0);
        int colon = address.lastIndexOf(':');
        Socket caller = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        caller.setSoTimeout(TIMEOUT_MS);
        caller.getOutputStream().write(upload(route, bytes).getBytes(StandardCharsets.ISO_8859_1));
        return caller;
    }

    @ParameterizedTest(name = "{0}, {1}")
    @MethodSource("routesAndEnds")
    void aPartOfAnAnswerIsNotDeliveredAsComplete(AnsweredRoute route, End end)
            throws IOException, InterruptedException {
        start(route);
        try (Socket caller = sendUpload(route, LARGE_UPLOAD_BYTES)) {
            answerInPart(route, end);
            ReceivedAnswer answer = receive(caller);
            if (answer.status() == 200) {
                assertThat(answer.complete()).isFalse();
            } else {
                assertThat(answer.status()).isIn(0, 502, 504);
                assertThat(answer.isSigned()).isFalse();
            }
        }
    }

    /** Guards against a whole answer that is discarded because its server answered before it had read the upload. */
    @ParameterizedTest
    @EnumSource
    void aWholeAnswerThatEndsInOrderIsDelivered(AnsweredRoute route) throws IOException {
        start(route);
        try (Socket caller = sendUpload(route, SMALL_UPLOAD_BYTES);
                Socket connection = acceptUpload(route)) {
            String head = readHead(connection.getInputStream());
            RawServer.write(connection.getOutputStream(), head(route, head) + route.pieces(1));
            connection.shutdownOutput();
            ReceivedAnswer answer = receive(caller);
            assertThat(answer.status()).isEqualTo(200);
            assertThat(answer.body()).isEqualTo(route.pieces(1));
            assertThat(answer.complete()).isTrue();
        }
    }
}
