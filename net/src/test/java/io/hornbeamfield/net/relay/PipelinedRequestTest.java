package io.hornbeamfield.net.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that are read while another one is in progress, and never answered (RFC 9112, 9.3.2). */
final class PipelinedRequestTest {
    private static final int TIMEOUT_MS = 10_000;

    /** More than the codec accepts. */
    private static final int LONG_HEAD_BYTES = 140 * 1024;

    private static final InboundLimits LIMITS = new InboundLimits(4_096, 20_000, 60_000, 60_000);

    private final Serial serial = new Serial();
    private final RelayTransport transport = RelayTransport.start("test", serial);
    private final BlockingQueue<InboundRequest> requests = new LinkedBlockingQueue<>();
    private final List<Socket> sockets = new ArrayList<>();

    @AfterEach
    void stop() throws IOException {
        transport.close();
        for (Socket s : sockets) {
            s.close();
        }
    }

    private Socket connect(String text) throws IOException {
        int port = transport.listen("127.0.0.1:0", () -> LIMITS, requests::add);
        Socket s = new Socket(InetAddress.getLoopbackAddress(), port);
        s.setSoTimeout(TIMEOUT_MS);
        sockets.add(s);
        send(s, text);
        return s;
    }

    private static void send(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    private static String post(String path, int bytes) {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + bytes + "\r\n\r\n" + "b".repeat(bytes);
    }

    private InboundRequest next() throws InterruptedException {
        InboundRequest r = requests.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertThat(r).isNotNull();
        return r;
    }

    private void answerNext(String path) throws InterruptedException {
        InboundRequest r = next();
        assertThat(r.path()).isEqualTo(path);
        answer(r);
    }

    private void answer(InboundRequest r) {
        byte[] body = ("<" + r.path() + ">").getBytes(StandardCharsets.ISO_8859_1);
        serial.run(() -> r.reply(200, List.of(), body));
    }

    private static String readUntil(Socket s, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.length() < end.length() || !end.contentEquals(text.substring(text.length() - end.length()))) {
            int b = s.getInputStream().read();
            assertThat(b).as("end of stream after: %s", text).isNotEqualTo(-1);
            text.append((char) b);
        }
        return text.toString();
    }

    private static String readAll(Socket s) throws IOException {
        return new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    @Test
    void pipelinedRequestsAreHandledOneByOneAndAnsweredInOrder() throws Exception {
        Socket s = connect(get("/1") + post("/2", 3) + "POST /3 HTTP/1.1\r\nHost: h\r\nContent-Le");
        InboundRequest first = next();
        assertThat(requests.poll(200, TimeUnit.MILLISECONDS)).isNull();
        send(s, "ngth: 2\r\n\r\nxy" + get("/4"));
        answer(first);
        InboundRequest second = next();
        assertThat(second.body()).hasSize(3);
        answer(second);
        InboundRequest third = next();
        assertThat(third.body()).asString(StandardCharsets.ISO_8859_1).isEqualTo("xy");
        serial.run(() -> {
            third.start(200, List.of());
            third.write("</3>".getBytes(StandardCharsets.ISO_8859_1));
            third.end();
        });
        answerNext("/4");
        assertThat(readUntil(s, "</4>")).matches("(?s).*</1>.*</2>.*</3>.*</4>");
    }

    @Test
    void aPipelinedRequestIsAnsweredBeforeTheConnectionOfALeavingProcessCloses() throws Exception {
        Socket s = connect(get("/1") + get("/2"));
        InboundRequest first = next();
        Thread.sleep(100);
        first.closeAfterAnswer();
        answer(first);
        InboundRequest second = next();
        second.closeAfterAnswer();
        answer(second);
        String all = readAll(s);
        assertThat(all).contains("</1>").endsWith("</2>").containsOnlyOnce("Connection: close");
        assertThat(all.indexOf("Connection: close")).isGreaterThan(all.indexOf("</1>"));
    }

    /** An error response would be taken for the answer to the request that is in progress. */
    @Test
    void aHeadOfAnotherVersionIsRefusedInItsTurn() throws Exception {
        Socket s = connect(get("/1") + "no request\r\n\r\n");
        InboundRequest first = next();
        Thread.sleep(100);
        answer(first);
        assertThat(readAll(s)).matches("(?s)HTTP/1.1 200.*</1>HTTP/1.1 505.*");
        assertThat(requests).isEmpty();
    }

    /** Guards against a refusal by the codec in place of the answer to the request that is in progress. */
    @Test
    void aMalformedRequestDoesNotTakeTheAnswerOfTheOneBefore() throws Exception {
        Socket s = connect(get("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
        InboundRequest first = next();
        Thread.sleep(100);
        answer(first);
        assertThat(readAll(s)).matches("(?s)HTTP/1.1 200.*</1>HTTP/1.1 400.*");
        assertThat(requests).isEmpty();
    }

    /** The codec refuses such a head at once as well. */
    @Test
    void aHeadWithoutEndDoesNotTakeTheAnswerOfTheRequestBefore() throws Exception {
        Socket s = connect(get("/1"));
        InboundRequest first = next();
        s.getOutputStream()
                .write(("GET /2 HTTP/1.1\r\nX: " + "x".repeat(LONG_HEAD_BYTES)).getBytes(StandardCharsets.ISO_8859_1));
        Thread.sleep(300);
        answer(first);
        assertThat(readAll(s)).startsWith("HTTP/1.1 200").contains("</1>").doesNotContain("HTTP/1.1 400");
        assertThat(requests).isEmpty();
    }

    @Test
    void aPipelinedRequestThatIsTooLargeIsRefusedInItsTurn() throws Exception {
        Socket s = connect(get("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 20001\r\n\r\n" + get("/hidden"));
        InboundRequest first = next();
        Thread.sleep(100);
        answer(first);
        assertThat(readAll(s)).matches("(?s)HTTP/1.1 200.*</1>HTTP/1.1 413.*");
        assertThat(requests).isEmpty();
    }

    @Test
    void aCallerThatClosesWithRequestsThatWaitIsReportedAndNoneOfThemIsHandled() throws Exception {
        Socket s = connect(get("/1") + get("/2"));
        InboundRequest first = next();
        BlockingQueue<String> gone = new LinkedBlockingQueue<>();
        first.onCallerGone(() -> gone.add("gone"));
        s.close();
        assertThat(gone.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isEqualTo("gone");
        answer(first);
        assertThat(requests.poll(200, TimeUnit.MILLISECONDS)).isNull();
    }

    @Test
    void largeRequestsBeyondABoundAreNotReadAndTheOthersAreAnswered() throws Exception {
        Socket s = connect(get("/x"));
        InboundRequest r = next();
        Thread writer = new Thread(() -> {
            try {
                for (int i = 0; i < 3_000; i++) {
                    send(s, post("/x", 10_000));
                }
            } catch (IOException e) {
                // The connection has been closed after the answers.
                Thread.currentThread().interrupt();
            }
        });
        writer.start();
        Thread.sleep(1_000);
        int handled = 0;
        while (r != null) {
            handled++;
            answer(r);
            r = requests.poll(300, TimeUnit.MILLISECONDS);
        }
        assertThat(handled).isBetween(2, 65);
        String last = "";
        for (int i = 0; i < handled; i++) {
            last = readUntil(s, "</x>");
        }
        assertThat(last).contains("Connection: close");
        writer.join(TIMEOUT_MS);
        assertThat(writer.isAlive()).isFalse();
    }

    @Test
    void smallRequestsBeyondABoundAreNotReadAndTheOthersAreAnswered() throws Exception {
        Socket s = connect(get("/x").repeat(2_000));
        InboundRequest r = next();
        Thread.sleep(200);
        int handled = 0;
        while (r != null) {
            handled++;
            answer(r);
            r = requests.poll(300, TimeUnit.MILLISECONDS);
        }
        assertThat(handled).isBetween(2, 2_000);
        assertThat(readAll(s).split("</x>", -1)).hasSize(handled + 1);
    }
}
