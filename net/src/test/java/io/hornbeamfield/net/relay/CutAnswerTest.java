package io.hornbeamfield.net.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a cut answer that looks complete to a caller that speaks HTTP/1.0. There are no chunks in HTTP/1.0, so
 * that an answer of unknown length ends with its connection.
 */
final class CutAnswerTest {
    private static final int TIMEOUT_MS = 10_000;
    private static final InboundLimits LIMITS = new InboundLimits(4_096, 1_000, 60_000, 60_000);
    private static final byte[] PIECE = "piece".getBytes(StandardCharsets.ISO_8859_1);

    private final RelayTransport transport = RelayTransport.start("test", new Serial());
    private final BlockingQueue<InboundRequest> requests = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() {
        transport.close();
    }

    private static Socket send(int port, String text) throws IOException {
        Socket s = new Socket(InetAddress.getLoopbackAddress(), port);
        s.setSoTimeout(TIMEOUT_MS);
        s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return s;
    }

    private InboundRequest begin() throws InterruptedException {
        InboundRequest r = requests.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertThat(r).isNotNull();
        r.start(200, List.of());
        r.write(PIECE);
        return r;
    }

    private int listen() {
        return transport.listen("127.0.0.1:0", () -> LIMITS, requests::add);
    }

    /** Reads until the text has arrived, and returns what arrived. */
    private static String readPiece(Socket s) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("piece") < 0) {
            int b = s.getInputStream().read();
            assertThat(b).as("end after: %s", text).isNotNegative();
            text.append((char) b);
        }
        return text.toString();
    }

    private static String readAll(Socket s) throws IOException {
        return new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Connection: keep-alive\r\n", "Connection: close\r\n"})
    void anAnswerThatIsCutIsResetForAnOldCaller(String header) throws Exception {
        Socket s = send(listen(), "GET /s HTTP/1.0\r\nHost: h\r\n" + header + "\r\n");
        InboundRequest r = begin();
        assertThat(readPiece(s)).doesNotContain("chunked").endsWith("\r\n\r\npiece");
        r.cut();
        assertThatThrownBy(() -> readAll(s)).hasMessageContaining("reset");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Connection: keep-alive\r\n", "Connection: close\r\n"})
    void aWholeAnswerEndsInOrderForAnOldCaller(String header) throws Exception {
        Socket s = send(listen(), "GET /s HTTP/1.0\r\nHost: h\r\n" + header + "\r\n");
        InboundRequest r = begin();
        r.write(" two".getBytes(StandardCharsets.ISO_8859_1));
        r.end();
        assertThat(readAll(s)).endsWith("\r\n\r\npiece two").containsOnlyOnce("HTTP/1.");
    }

    /** The caller reads only after the answer has ended, when most of it waits to be written. */
    @Test
    void aLargeAnswerIsWrittenToItsEndForAnOldCaller() throws Exception {
        Socket s = send(listen(), "GET /s HTTP/1.0\r\nHost: h\r\n\r\n");
        InboundRequest r = begin();
        int parts = 400;
        for (int i = 0; i < parts; i++) {
            r.write("x".repeat(64 * 1024).getBytes(StandardCharsets.ISO_8859_1));
        }
        r.end();
        Thread.sleep(200);
        String answer = readAll(s);
        assertThat(answer.length() - answer.indexOf("piece")).isEqualTo("piece".length() + parts * 64 * 1024);
    }

    @Test
    void anAnswerThatIsCutKeepsWhatItHadForACallerThatAskedForTheEndOfTheConnection() throws Exception {
        Socket s = send(listen(), "GET /s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        InboundRequest r = begin();
        r.write(PIECE);
        r.cut();
        assertThat(readAll(s)).contains("chunked").endsWith("5\r\npiece\r\n5\r\npiece\r\n");
    }

    @Test
    void anAnswerIsResetForAnOldCallerWhenTheTransportStops() throws Exception {
        Socket s = send(listen(), "GET /s HTTP/1.0\r\nHost: h\r\n\r\n");
        begin();
        readPiece(s);
        transport.close();
        assertThatThrownBy(() -> readAll(s)).hasMessageContaining("reset");
    }

    /** A process that ends on SIGTERM or SIGKILL cannot cut its answers itself. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anAnswerIsResetForAnOldCallerWhenTheProcessEnds(boolean killed) throws Exception {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Process process = new ProcessBuilder(
                        java, "-Xmx64m", "-cp", System.getProperty("java.class.path"), OpenAnswer.class.getName())
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        try (BufferedReader out =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.US_ASCII))) {
            Socket s = send(Integer.parseInt(out.readLine()), "GET /s HTTP/1.0\r\nHost: h\r\n\r\n");
            readPiece(s);
            if (killed) {
                process.destroyForcibly();
            } else {
                process.destroy();
            }
            assertThatThrownBy(() -> readAll(s)).hasMessageContaining("reset");
        } finally {
            process.destroyForcibly();
        }
    }

    /** Process that begins an answer to each request and ends none. */
    static final class OpenAnswer {
        private OpenAnswer() {}

        public static void main(String[] args) throws InterruptedException {
            RelayTransport open = RelayTransport.start("open", new Serial());
            int port = open.listen("127.0.0.1:0", () -> LIMITS, r -> {
                r.start(200, List.of());
                r.write(PIECE);
            });
            System.out.println(port);
            Thread.sleep(60_000);
            System.exit(0);
        }
    }
}
