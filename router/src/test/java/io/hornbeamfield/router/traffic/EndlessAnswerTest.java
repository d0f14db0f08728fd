package io.hornbeamfield.router.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.router.Await;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntFunction;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against an engine or a service that sends without end and thereby uses up the memory of a router. */
final class EndlessAnswerTest {
    private static final int PART_BYTES = 64 * 1024;

    /** The tokens that {@link TestRouter#chatBody} asks for, and a few more. */
    private static final int MAX_TOKENS = 50 + 16;

    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
    private static final String STREAM = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + CHUNKED;
    private static final String FAILURE = "HTTP/1.1 500 Failed\r\nContent-Type: application/json\r\n" + CHUNKED;

    private final TestRouter router = new TestRouter("r1-00000001");
    private final FakeEngine sound = new FakeEngine();
    private EndlessServer endless;

    @AfterEach
    void stop() {
        router.close();
        endless.close();
        sound.close();
    }

    static Stream<Arguments> endlessHeads() {
        return Stream.of(
                input("a head", "HTTP/1.1 200 OK\r\n", i -> "X-Line: x\r\n".repeat(PART_BYTES / 11)),
                input("a header line", "HTTP/1.1 200 OK\r\nX-Line: ", i -> "x".repeat(PART_BYTES)),
                input("interim heads", "", i -> "HTTP/1.1 100 Continue\r\n\r\n".repeat(PART_BYTES / 25)),
                input("a status line", "HTTP/1.1 200 ", i -> "x".repeat(PART_BYTES)),
                input("no HTTP", "", i -> "x".repeat(PART_BYTES)),
                input("a chunk size", STREAM, i -> "0".repeat(PART_BYTES)),
                input("a chunk extension", STREAM + "1;", i -> "x".repeat(PART_BYTES)),
                input("the body of a failure", FAILURE, i -> chunk("x".repeat(PART_BYTES))),
                input(
                        "the body of a failure in chunks of a byte",
                        FAILURE,
                        i -> chunk("x").repeat(PART_BYTES / 6)));
    }

    static Stream<Arguments> endlessStreams() {
        return Stream.concat(
                endlessHeads(),
                Stream.of(
                        input("empty lines", STREAM, i -> chunk("\n".repeat(PART_BYTES))),
                        input("comments", STREAM, i -> chunk(":\n\n".repeat(PART_BYTES / 3))),
                        input("a line", STREAM, i -> chunk("x".repeat(PART_BYTES))),
                        input(
                                "a line in chunks of a byte",
                                STREAM,
                                i -> chunk("x").repeat(PART_BYTES / 6)),
                        input("trailers", STREAM + chunk(token(0, "x")) + "0\r\n", i -> "X: x\r\n".repeat(10_000)),
                        input("the same token", STREAM, i -> chunk(token(0, "x").repeat(500))),
                        input("tokens without text", STREAM, i -> chunk(tokens(i, ""))),
                        input("tokens", STREAM, i -> chunk(tokens(i, "x"))),
                        input("large tokens", STREAM, i -> chunk(token(i, "x".repeat(900_000))))));
    }

    static Stream<Arguments> endlessBodies() {
        return Stream.concat(
                endlessHeads(),
                Stream.of(
                        input("a body", "HTTP/1.1 200 OK\r\n\r\n", i -> "x".repeat(PART_BYTES)),
                        input("a body in chunks", STREAM, i -> chunk("x".repeat(PART_BYTES))),
                        input(
                                "a body in chunks of a byte",
                                STREAM,
                                i -> chunk("x").repeat(PART_BYTES / 6))));
    }

    private static Arguments input(String name, String head, IntFunction<String> part) {
        return Arguments.of(name, head, part);
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String token(int offset, String text) {
        return new String(FakeEngine.event("x", offset, text), StandardCharsets.US_ASCII);
    }

    private static String tokens(int part, String text) {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 500; i++) {
            all.append(token(part * 500 + i, text));
        }
        return all.toString();
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("endlessStreams")
    void anEngineThatSendsWithoutEndEndsWithoutACompleteAnswer(String name, String head, IntFunction<String> part) {
        endless = new EndlessServer(head, part);
        router.load.add("models", "e1", endless.address());
        CompletableFuture<HttpReply> stream = router.sendAsync(router.chat(true));
        CompletableFuture<HttpReply> body = router.sendAsync(router.chat(false));
        assertThat(stream).succeedsWithin(LIMIT).satisfies(r -> {
            assertThat(r.text()).doesNotContain("[DONE]");
            assertThat(r.status() != 200 || r.text().contains("event: error\n"))
                    .as("an error is reported")
                    .isTrue();
            assertThat(r.text().split("\"content\"", -1)).hasSizeLessThanOrEqualTo(MAX_TOKENS + 1);
        });
        assertThat(body)
                .succeedsWithin(LIMIT)
                .satisfies(r -> assertThat(r.status()).isGreaterThanOrEqualTo(400));
        // An engine notices the end of its connection with its next write, in a thread of its own.
        Await.until(() -> endless.closedConnections.get() == endless.requests.get());
        router.load.addresses.get("models").clear();
        router.load.add("models", "e2", sound.address());
        assertThat(Sse.text(router.send(router.chat(true)))).isEqualTo("0 1 2 3 4 5 ");
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("endlessBodies")
    void aServiceThatSendsWithoutEndEndsWithoutACompleteAnswer(String name, String head, IntFunction<String> part) {
        endless = new EndlessServer(head, part);
        router.load.add("fees", "s1", endless.address());
        String calls = "http://127.0.0.1:" + router.traffic.port() + "/v1/services/fees/";
        HttpCall.Builder repeatable = HttpCall.of("GET", calls + "prices");
        HttpCall.Builder once =
                HttpCall.of("POST", calls + "orders").header("Idempotency-Key", router.key("orderone1"));
        for (HttpCall.Builder call : List.of(repeatable, once)) {
            assertThat(router.sendAsync(call.bearer("secret-key").timeout(LIMIT)))
                    .succeedsWithin(LIMIT)
                    .satisfies(r -> assertThat(r.status()).isGreaterThanOrEqualTo(500));
        }
        Await.until(() -> endless.closedConnections.get() == endless.requests.get());
    }
}
