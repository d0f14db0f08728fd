package io.hornbeamfield.net.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Timer;
import java.util.TimerTask;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against request smuggling: requests that this system and a backend server would parse differently, and
 * requests hidden in the body of another one. Malformed requests are followed by a request to /hidden in the same
 * bytes.
 */
final class HostileRequestTest {
    private static final String HIDDEN = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final InboundLimits LIMITS = new InboundLimits(4_096, 1_000, 1_000, 1_000);
    private static final int TIMEOUT_MS = 10_000;

    private final RelayTransport transport = RelayTransport.start("test", new Serial());
    private final List<InboundRequest> seen = new CopyOnWriteArrayList<>();

    @AfterEach
    void stop() {
        transport.close();
    }

    private String send(String text) throws IOException, InterruptedException {
        return send("", text);
    }

    /** Sends the first text in single bytes. */
    private String send(String first, String rest) throws IOException, InterruptedException {
        int port = transport.listen("127.0.0.1:0", () -> LIMITS, r -> {
            seen.add(r);
            r.reply(200, List.of(), new byte[0]);
        });
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            s.setSoTimeout(TIMEOUT_MS);
            s.setTcpNoDelay(true);
            for (byte b : first.getBytes(StandardCharsets.ISO_8859_1)) {
                s.getOutputStream().write(b);
                Thread.sleep(1);
            }
            s.getOutputStream().write(rest.getBytes(StandardCharsets.ISO_8859_1));
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "an unknown transfer coding, 400, 'Transfer-Encoding: xchunked^^0^^'",
        "a coding before chunked, 400, 'Transfer-Encoding: gzip, chunked^^0^^'",
        "a coding after chunked, 400, 'Transfer-Encoding: chunked, identity^^0^^'",
        "chunked twice, 400, 'Transfer-Encoding: chunked^Transfer-Encoding: chunked^^0^^'",
        "a negative length, 400, 'Content-Length: -1^^'",
        "a length with a sign, 400, 'Content-Length: +4^^abcd'",
        "a hexadecimal length, 400, 'Content-Length: 0x4^^abcd'",
        "two lengths in one field, 400, 'Content-Length: 4, 4^^abcd'",
        "two lengths, 400, 'Content-Length: 4^Content-Length: 0^^abcd'",
        "a length that overflows, 400, 'Content-Length: 99999999999999999999^^abcd'",
        "a folded length, 400, 'Content-Length:^ 4^^abcd'",
        "a chunk size that is no number, 400, 'Transfer-Encoding: chunked^^zz^abc^0^^'",
        "a negative chunk size, 400, 'Transfer-Encoding: chunked^^-1^abc^0^^'",
        "a chunk size that overflows, 400, 'Transfer-Encoding: chunked^^ffffffffffffffff1^abc^0^^'",
        "an empty chunk size, 400, 'Transfer-Encoding: chunked^^1^a^^^'",
        "an empty first chunk size, 400, 'Transfer-Encoding: chunked^^^^'",
        "a chunk size that is only an extension, 400, 'Transfer-Encoding: chunked^^;x^^'",
        "a chunk that is longer than its size, 400, 'Transfer-Encoding: chunked^^1^abc^0^^'",
        "two hosts, 400, 'Host: other^^'",
        "an empty header name, 400, ': value^^'",
        "a carriage return in a value, 400, 'X-A: b~X-B: c^^'",
        "a control character in a value, 400, 'X-A: b\u0001c^^'",
    })
    void anAmbiguousRequestIsRejectedAndNothingRuns(String name, int status, String rest)
            throws IOException, InterruptedException {
        String answer = send(
                "POST /1 HTTP/1.1\r\nHost: h\r\n" + rest.replace("^", "\r\n").replace("~", "\r") + HIDDEN);

        assertThat(answer).as(name).startsWith("HTTP/1.1 " + status).containsOnlyOnce("HTTP/1.1");
        assertThat(seen).as(name).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Transfer-Encoding: chunked^Content-Length: 5^^",
                "Content-Length: 5^Transfer-Encoding: chunked^^",
                "Transfer-Encoding: Chunked^Content-Length: 5^^",
                "Content-Length: 5^Transfer-Encoding: Chunked^^"
            })
    void aHeadWithALengthAndChunksInSingleBytesHidesNoRequest(String fields) throws IOException, InterruptedException {
        send("POST /1 HTTP/1.1\r\nHost: h\r\n" + fields.replace("^", "\r\n"), "0\r\n\r\n" + HIDDEN);

        assertThat(seen).extracting(InboundRequest::target).doesNotContain("/hidden");
        assertThat(seen).allSatisfy(r -> assertThat(r.body()).isEmpty());
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "a version that is not spoken, 505, 'GET /1 HTTP/2.0^Host: h^^'",
        "no version, 505, 'GET /1^^'",
        "another protocol, 505, 'GET /1 FOO/1.1^Host: h^^'",
        "a space in the method, 505, 'GE T /1 HTTP/1.1^Host: h^^'",
        "no host, 400, 'GET /1 HTTP/1.1^^'",
    })
    void anUnsupportedRequestLineIsRejected(String name, int status, String text)
            throws IOException, InterruptedException {
        String answer = send(text.replace("^", "\r\n") + HIDDEN);

        assertThat(answer).as(name).startsWith("HTTP/1.1 " + status).containsOnlyOnce("HTTP/1.1");
        assertThat(seen).as(name).isEmpty();
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "a header, 'GET /1 HTTP/1.1^Host: h^X: %s^^'",
        "a target, 'GET /%s HTTP/1.1^Host: h^^'",
        "a query, 'GET /1?%s HTTP/1.1^Host: h^^'",
    })
    void aRequestHeadOverTheLimitIsRejected(String name, String text) throws IOException, InterruptedException {
        String answer = send(text.replace("^", "\r\n").formatted("a".repeat(5_000)));

        assertThat(answer).as(name).startsWith("HTTP/1.1 431");
        assertThat(seen).as(name).isEmpty();
    }

    /** An incomplete request holds a connection no longer than the header or idle timeout. */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "half a head, 'GET /1 HTTP/1.1^Host: h^'",
        "a line without a colon, 'GET /1 HTTP/1.1^Host: h^nocolon^^'",
        "half a body, 'POST /1 HTTP/1.1^Host: h^Content-Length: 4^^ab'",
    })
    void anIncompleteRequestIsClosedAndNeverRuns(String name, String text) throws IOException, InterruptedException {
        Timer timeoutCheck = new Timer(true);
        timeoutCheck.schedule(
                new TimerTask() {
                    @Override
                    public void run() {
                        transport.sweep();
                    }
                },
                100,
                100);
        String answer = send(text.replace("^", "\r\n"));
        timeoutCheck.cancel();

        assertThat(answer).as(name).doesNotContain(" 200 ");
        assertThat(seen).as(name).isEmpty();
    }
}
