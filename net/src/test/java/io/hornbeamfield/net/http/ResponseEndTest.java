package io.hornbeamfield.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a response that ends early and counts as whole, and against a whole one that counts as broken. */
final class ResponseEndTest {
    private static final String OK = "HTTP/1.1 200 OK~";
    private static final String LENGTH = OK + "Content-Length: 10~~";
    private static final String CHUNKED = OK + "Transfer-Encoding: chunked~~";

    /** Time for the bytes to arrive, since a reset discards those that the client has not read yet. */
    private static final int RESET_DELAY_MS = 30;

    /** More than the buffers of both sockets take. */
    private static final int UPLOAD_BYTES = 32 * 1024 * 1024;

    private final HttpClient client = HttpClient.create("test");
    private ServerSocket server;
    private volatile String response = "";
    private volatile boolean resets;
    private volatile boolean halfCloses;
    private volatile boolean sendsSingleBytes;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread t = new Thread(this::serve);
        t.setDaemon(true);
        t.start();
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        server.close();
    }

    private void serve() {
        try (Socket connection = server.accept()) {
            readHead(connection.getInputStream());
            connection.setTcpNoDelay(true);
            byte[] bytes = response.replace("~", "\r\n").getBytes(StandardCharsets.ISO_8859_1);
            int partBytes = sendsSingleBytes ? 1 : bytes.length;
            for (int i = 0; i < bytes.length; i += partBytes) {
                connection.getOutputStream().write(bytes, i, partBytes);
                Thread.sleep(sendsSingleBytes ? 1 : 0);
            }
            if (halfCloses) {
                connection.shutdownOutput();
                Thread.sleep(RESET_DELAY_MS);
            }
            if (resets) {
                Thread.sleep(RESET_DELAY_MS);
                connection.setSoLinger(true, 0);
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.read());
        }
    }

    private HttpCall.Builder call() {
        return HttpCall.get("http://127.0.0.1:" + server.getLocalPort() + "/").timeout(Duration.ofSeconds(5));
    }

    private HttpReply reply(HttpCall.Builder call) {
        return client.send(call.build()).join();
    }

    private void assertBroken(HttpCall.Builder call) {
        assertThat(client.send(call.build())
                        .handle((reply, failure) -> reply == null ? failure : "complete: " + reply.text())
                        .join())
                .isInstanceOfSatisfying(
                        CallFailure.class, f -> assertThat(f.kind()).isEqualTo(CallFailure.Kind.BROKEN));
    }

    static Stream<String> cutResponses() {
        return Stream.of(
                "",
                "HTTP/1.1 2",
                "HTTP/1.1 200",
                OK,
                OK + "Content-Le",
                OK + "Content-Length: 1",
                OK + "Content-Length: 10~",
                OK + "Content-Length: 10~\r",
                LENGTH,
                LENGTH + "0",
                LENGTH + "012345678",
                OK + "Transfer-Encoding: chunked~",
                CHUNKED,
                CHUNKED + "a",
                CHUNKED + "a\r",
                CHUNKED + "a~",
                CHUNKED + "a~01234",
                CHUNKED + "a~0123456789",
                CHUNKED + "a~0123456789~",
                CHUNKED + "a~0123456789~0",
                CHUNKED + "a~0123456789~0~",
                CHUNKED + "a~0123456789~0~X: y~",
                CHUNKED + "a~0123456789~0~\r",
                CHUNKED + "a~0123456789~x~",
                CHUNKED + "~~",
                CHUNKED + "a~0123456789~~~",
                CHUNKED + "a~0123456789~ ~~",
                CHUNKED + "a~0123456789~;x~~",
                CHUNKED + "a~0123456789xx~0~~",
                CHUNKED + "a~0123456789\r0~~",
                "HTTP/1.1 100 Continue~~",
                "HTTP/1.1 100 Continue~~" + OK,
                "HTTP/1.1 103 Early Hints~Link: x~~" + OK + "Content-Length: 10~",
                "HTTP/1.1 103 Early Hints~Link: x~~" + LENGTH + "01234",
                "HTTP/1.1 103 Early Hints~Link: x~~" + CHUNKED + "a~0123456789~",
                "0123456789");
    }

    static Stream<Arguments> cutResponsesAndEnds() {
        return cutResponses().flatMap(r -> Stream.of(Arguments.of(r, false), Arguments.of(r, true)));
    }

    @ParameterizedTest(name = "\"{0}\", reset {1}")
    @MethodSource("cutResponsesAndEnds")
    void aCutResponseIsBroken(String cut, boolean reset) {
        response = cut;
        resets = reset;
        assertBroken(call());
    }

    @ParameterizedTest(name = "\"{0}\", reset {1}")
    @MethodSource("cutResponsesAndEnds")
    void aCutResponseIsBrokenWhereABodyMayEndWithItsConnection(String cut, boolean reset) {
        response = cut;
        resets = reset;
        assertBroken(call().bodyMayEndWithConnection());
    }

    @ParameterizedTest(name = "\"{0}\"")
    @MethodSource("cutResponses")
    void aCutResponseInSingleBytesIsBroken(String cut) {
        sendsSingleBytes = true;
        aCutResponseIsBroken(cut, false);
    }

    /** The length of such a body is not certain, so that a part of it could count as the whole. */
    @ParameterizedTest(name = "{0}")
    @ValueSource(
            strings = {
                "Content-Length: 10~Content-Length: 4~",
                "Content-Length: 4~Content-Length: 10~",
                "Content-Length: 4, 10~",
                "Content-Length: ten~",
                "Content-Length: -1~",
                "Content-Length: 4x~",
                "Content-Length: ~",
                "Content-Length: 99999999999999999999~",
                "Transfer-Encoding: gzip~",
                "Transfer-Encoding: gzip~Content-Length: 4~",
                "Transfer-Encoding: gzip, chunked~",
                "Transfer-Encoding: chunked, gzip~",
                "Transfer-Encoding: chunked-not~",
                "Transfer-Encoding: gzip~Transfer-Encoding: chunked~",
                "Transfer-Encoding: identity~",
                "Transfer-Encoding: ~"
            })
    void aResponseWithoutACertainLengthIsBroken(String fields) {
        response = OK + fields + "~a~0123456789~0~~";
        assertBroken(call().bodyMayEndWithConnection());
    }

    static Stream<String> wholeResponses() {
        return Stream.of(
                LENGTH + "0123456789",
                CHUNKED + "a~0123456789~0~~",
                CHUNKED + "4~0123~6~456789~0~X: y~~",
                CHUNKED + " A ~0123456789~000~~",
                CHUNKED + "a\n0123456789\n0\n\n",
                OK + "Content-Length: 10~Content-Length: 10~~0123456789",
                OK + "Content-Length: 4~Transfer-Encoding: Chunked~~a~0123456789~0~~");
    }

    static Stream<String> wholeResponsesWithInterimHeads() {
        return Stream.of(
                "HTTP/1.1 100 Continue~~" + LENGTH + "0123456789",
                "HTTP/1.1 100 Continue~~" + CHUNKED + "a~0123456789~0~~");
    }

    @ParameterizedTest(name = "\"{0}\"")
    @MethodSource("wholeResponses")
    void aWholeResponseInSingleBytesIsComplete(String whole) {
        sendsSingleBytes = true;
        aWholeResponseIsComplete(whole);
    }

    @ParameterizedTest(name = "\"{0}\"")
    @MethodSource("wholeResponsesWithInterimHeads")
    void anInterimHeadInSingleBytesDoesNotBreakTheResponse(String whole) {
        sendsSingleBytes = true;
        aWholeResponseIsComplete(whole);
    }

    @Test
    void chunksOverrideALengthAfterThemInSingleBytes() {
        sendsSingleBytes = true;
        aWholeResponseIsComplete(OK + "Transfer-Encoding: Chunked~Content-Length: 4~~a~0123456789~0~~");
    }

    @Test
    void chunksOverrideALengthAfterThem() {
        aWholeResponseIsComplete(OK + "Transfer-Encoding: Chunked~Content-Length: 4~~a~0123456789~0~~");
    }

    @ParameterizedTest(name = "\"{0}\"")
    @MethodSource({"wholeResponses", "wholeResponsesWithInterimHeads"})
    void aWholeResponseIsComplete(String whole) {
        response = whole;
        assertThat(reply(call()).text()).isEqualTo("0123456789");
    }

    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {OK + "~", OK + "Connection: close~~", "HTTP/1.0 200 OK~Content-Type: text/plain~~"})
    void aBodyThatEndsWithItsConnectionIsCompleteOnlyWhereThatIsAllowed(String head) {
        response = head + "0123456789";
        assertThat(reply(call().bodyMayEndWithConnection()).text()).isEqualTo("0123456789");
    }

    @Test
    void aBodyThatEndsWithItsConnectionIsBrokenElsewhere() {
        response = OK + "~0123456789";
        assertBroken(call());
    }

    @Test
    void aBodyThatEndsWithAResetIsBroken() {
        response = OK + "~0123456789";
        resets = true;
        assertBroken(call().bodyMayEndWithConnection());
    }

    /** A server that stopped after the head would leave the same bytes. */
    @Test
    void anEmptyBodyThatEndsWithItsConnectionIsBroken() {
        response = OK + "~";
        assertBroken(call().bodyMayEndWithConnection());
    }

    /**
     * Guards against a part of a body that counts as whole because the write of the upload gets the error of the reset,
     * so that reading finds an orderly end.
     */
    @Test
    void aBodyThatEndsWhileTheRequestIsBeingWrittenIsBroken() {
        response = OK + "~0123456789";
        halfCloses = true;
        resets = true;
        assertBroken(HttpCall.of("POST", "http://127.0.0.1:" + server.getLocalPort() + "/")
                .timeout(Duration.ofSeconds(5))
                .body(new byte[UPLOAD_BYTES])
                .bodyMayEndWithConnection());
    }

    /** Guards against a response that is no HTTP and reaches its caller as an answer. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "001", "099", "600", "700", "999", "1000", "20", "-200", "2x0"})
    void aResponseWithAnInvalidStatusIsBroken(String status) {
        response = "HTTP/1.1 " + status + " Trouble~Content-Length: 10~~0123456789";
        assertBroken(call());
    }
}
