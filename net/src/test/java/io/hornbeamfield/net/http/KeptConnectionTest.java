package io.hornbeamfield.net.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests on a kept connection that the server reads and never answers. */
final class KeptConnectionTest {
    private static final int TIMEOUT_MS = 10_000;
    private static final int ANSWER_DELAY_MS = 150;
    private static final int PAUSE_MS = 20;
    private static final int CALLERS = 16;
    private static final int REQUESTS_EACH = 250;

    /** Larger than the buffer of a response, so that its last bytes leave before the response is completed. */
    private static final int LARGE_ANSWER_BYTES = 50_000;

    private final ScheduledExecutorService answers = Executors.newScheduledThreadPool(4);
    private final ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    private final HttpServer server = HttpServer.builder()
            .route("POST", "/late/*", x -> {
                x.onDisconnect(() -> {});
                answers.schedule(() -> x.reply(200, Map.of(), answer(x)), ANSWER_DELAY_MS, TimeUnit.MILLISECONDS);
            })
            .route("GET", "/large", x -> {
                x.onDisconnect(() -> {});
                answers.execute(
                        () -> x.reply(200, Map.of(), (".".repeat(LARGE_ANSWER_BYTES) + ";").getBytes(ISO_8859_1)));
            })
            .route("*", "/*", x -> x.reply(200, Map.of(), answer(x)))
            .start();

    @AfterEach
    void stop() {
        server.close();
        answers.shutdownNow();
        callers.shutdownNow();
    }

    private static byte[] answer(HttpExchange x) {
        return (x.path() + " " + x.body().length + ";").getBytes(ISO_8859_1);
    }

    private static String late(int i, int bodyBytes) {
        return "POST /late/" + i + " HTTP/1.1\r\nHost: s\r\nContent-Length: " + bodyBytes + "\r\n\r\n"
                + "x".repeat(bodyBytes);
    }

    private static String soon(int i) {
        return "GET /soon/" + i + " HTTP/1.1\r\nHost: s\r\n\r\n";
    }

    /** The next request was taken for a part of the one whose answer had left but was not yet completed. */
    @Test
    void aRequestRightAfterAWholeAnswerIsAnswered() throws Exception {
        List<Future<List<String>>> results = IntStream.range(0, CALLERS)
                .mapToObj(i -> callers.submit(this::callOneAfterTheOther))
                .toList();
        for (Future<List<String>> result : results) {
            assertThat(result.get()).hasSize(REQUESTS_EACH);
        }
    }

    private List<String> callOneAfterTheOther() throws IOException {
        try (Socket s = connect()) {
            InputStream in = new BufferedInputStream(s.getInputStream());
            List<String> received = new ArrayList<>();
            for (int i = 0; i < REQUESTS_EACH; i++) {
                s.getOutputStream().write("GET /large HTTP/1.1\r\nHost: s\r\n\r\n".getBytes(ISO_8859_1));
                received.addAll(readAnswers(in, 1));
            }
            return received;
        }
    }

    static Stream<Arguments> segments() {
        String first = late(1, 0);
        return Stream.of(
                Arguments.of("one later", List.of(first, soon(2)), List.of("/late/1 0", "/soon/2 0")),
                Arguments.of(
                        "two later", List.of(first, soon(2), soon(3)), List.of("/late/1 0", "/soon/2 0", "/soon/3 0")),
                Arguments.of(
                        "a head in parts",
                        List.of(first, soon(2).substring(0, 9), soon(2).substring(9)),
                        List.of("/late/1 0", "/soon/2 0")));
    }

    /** The second request was dropped, and a third one got the answer in its place. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("segments")
    void aRequestBeforeTheAnswerToTheLastOneIsAnsweredInOrder(String name, List<String> segments, List<String> expected)
            throws Exception {
        assertThat(exchange(segments, expected.size())).as(name).isEqualTo(expected);
    }

    /** Grizzly answers this method itself. */
    @Test
    void aRequestAfterOneThatNoHandlerSeesIsAnswered() throws Exception {
        String trace = "TRACE / HTTP/1.1\r\nHost: s\r\n\r\n";
        assertThat(exchange(List.of(late(1, 0) + trace + soon(2)), 2)).isEqualTo(List.of("/late/1 0", "/soon/2 0"));
    }

    /** A piece may hold the end of one request and the begin of the next. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void requestsInPiecesOfAnySizeAreAnsweredInOrder(long seed) throws Exception {
        Random random = new Random(seed);
        StringBuilder all = new StringBuilder();
        List<String> expected = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            int body = random.nextInt(4) == 0 ? random.nextInt(30_000) : 0;
            boolean isLate = body > 0 || random.nextBoolean();
            all.append(isLate ? late(i, body) : soon(i));
            expected.add((isLate ? "/late/" : "/soon/") + i + " " + body);
        }
        List<String> segments = new ArrayList<>();
        int from = 0;
        while (from < all.length()) {
            int to = Math.min(all.length(), from + 1 + random.nextInt(random.nextBoolean() ? 60 : 8_000));
            segments.add(all.substring(from, to));
            from = to;
        }
        assertThat(exchange(segments, expected.size())).isEqualTo(expected);
    }

    private Socket connect() throws IOException {
        Socket s = new Socket("127.0.0.1", server.port());
        s.setSoTimeout(TIMEOUT_MS);
        s.setTcpNoDelay(true);
        return s;
    }

    private List<String> exchange(List<String> segments, int count) throws IOException, InterruptedException {
        try (Socket s = connect()) {
            for (String segment : segments) {
                s.getOutputStream().write(segment.getBytes(ISO_8859_1));
                Thread.sleep(PAUSE_MS);
            }
            return readAnswers(s.getInputStream(), count);
        }
    }

    private static List<String> readAnswers(InputStream in, int count) throws IOException {
        List<String> received = new ArrayList<>();
        StringBuilder part = new StringBuilder();
        while (received.size() < count) {
            int b = readOrEnd(in);
            if (b < 0) {
                throw new IOException("Nothing more came after " + received + " and \"" + part + "\"");
            }
            if (b == ';') {
                received.add(part.substring(part.lastIndexOf("\r\n\r\n") + 4));
                part.setLength(0);
            } else {
                part.append((char) b);
            }
        }
        return received;
    }

    private static int readOrEnd(InputStream in) throws IOException {
        try {
            return in.read();
        } catch (SocketTimeoutException e) {
            return -1;
        }
    }
}
