package io.hornbeamfield.router.traffic;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.http.ResponseStream;
import io.hornbeamfield.router.Await;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a begun stream that the router itself ends and that looks complete to its caller. */
final class OwnEndTest {
    private static final int TIMEOUT_MS = 10_000;

    private final FakeEngine engine = new FakeEngine();
    private final TestRouter owner = new TestRouter("r1-00000001");
    private final TestRouter other = new TestRouter("r2-00000002");

    /** The bytes that a caller got until the end of its connection. */
    private record Received(String bytes, boolean reset) {
        /** Returns whether HTTP alone gives the response as complete. */
        boolean looksComplete() {
            return bytes.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked")
                    ? bytes.endsWith("\r\n0\r\n\r\n")
                    : !reset;
        }
    }

    private interface Cause {
        void apply(OwnEndTest test);
    }

    @BeforeEach
    void addEngine() {
        owner.load.add("models", "e1", engine.address());
        owner.board.publishRouters(List.of(owner.info(), other.info()));
        other.board.publishRouters(List.of(owner.info(), other.info()));
    }

    @AfterEach
    void stop() {
        owner.close();
        other.close();
        engine.close();
    }

    static Stream<Arguments> callersAndCauses() {
        return Stream.of("HTTP/1.1\r\nHost: r", "HTTP/1.1\r\nHost: r\r\nConnection: close", "HTTP/1.0")
                .flatMap(version -> Stream.of(
                        cause(version, "the router stops", false, t -> t.owner.traffic.close()),
                        cause(version, "the owner of a relayed stream stops", true, t -> t.owner.traffic.close()),
                        cause(version, "the relaying router stops", true, t -> t.other.traffic.close()),
                        cause(version, "the engine loses the stream", false, OwnEndTest::loseStream),
                        cause(version, "the engine of a relayed stream loses it", true, OwnEndTest::loseStream),
                        cause(version, "the router has a fault", false, t -> {
                            t.owner.billing.failsNextBill.set(true);
                            t.engine.silentStreams.forEach(ResponseStream::abort);
                        })));
    }

    private static Arguments cause(String version, String name, boolean relayed, Cause cause) {
        return Arguments.of(version.replace("\r\n", " "), name, version, relayed, cause);
    }

    private static void loseStream(OwnEndTest test) {
        test.engine.losesStreams = true;
        test.engine.silentStreams.forEach(ResponseStream::abort);
    }

    @ParameterizedTest(name = "{0}, {1}")
    @MethodSource("callersAndCauses")
    void aBegunStreamNeverLooksCompleteWhen(
            String caller, String causeName, String version, boolean relayed, Cause cause) throws IOException {
        owner.publish(TestRouter.presetWithSilence(TIMEOUT_MS));
        engine.silentAt = 2;
        try (Socket s = send(relayed ? other : owner, version)) {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            while (!bytes.toString(ISO_8859_1).contains("\"offset\":1}\n\n")) {
                bytes.write(s.getInputStream().read());
            }
            Await.until(() -> !engine.silentStreams.isEmpty());
            cause.apply(this);
            Received received = readToEnd(s, bytes);
            assertThat(received.bytes()).doesNotContain("[DONE]");
            if (!received.bytes().contains("event: error\n")) {
                assertThat(received.looksComplete()).as("%s", received).isFalse();
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1\r\nHost: r", "HTTP/1.1\r\nHost: r\r\nConnection: close", "HTTP/1.0"})
    void aWholeStreamLooksComplete(String version) throws IOException {
        try (Socket s = send(owner, version)) {
            Received received = readToEnd(s, new ByteArrayOutputStream());
            assertThat(received.bytes()).contains("\"completion_tokens\":6", "data: [DONE]\n\n");
            assertThat(received.looksComplete()).isTrue();
        }
    }

    private Socket send(TestRouter router, String version) throws IOException {
        Socket s = new Socket("127.0.0.1", router.traffic.port());
        s.setSoTimeout(TIMEOUT_MS);
        byte[] body = TestRouter.chatBody(true);
        String head = "POST /v1/chat/completions " + version + "\r\nAuthorization: Bearer secret-key\r\n"
                + "Content-Type: application/json\r\nIdempotency-Key: " + owner.key("ownendkey")
                + "\r\nContent-Length: " + body.length + "\r\n\r\n";
        s.getOutputStream().write(head.getBytes(ISO_8859_1));
        s.getOutputStream().write(body);
        return s;
    }

    /** Reads to the end of the connection, or to that of the response if its connection is kept. */
    private static Received readToEnd(Socket s, ByteArrayOutputStream bytes) {
        try {
            int b = s.getInputStream().read();
            while (b >= 0) {
                bytes.write(b);
                if (bytes.toString(ISO_8859_1).endsWith("\r\n0\r\n\r\n")) {
                    break;
                }
                b = s.getInputStream().read();
            }
            return new Received(bytes.toString(ISO_8859_1), false);
        } catch (SocketTimeoutException e) {
            throw new AssertionError("The response did not end: " + bytes.toString(ISO_8859_1), e);
        } catch (IOException e) {
            return new Received(bytes.toString(ISO_8859_1), true);
        }
    }
}
