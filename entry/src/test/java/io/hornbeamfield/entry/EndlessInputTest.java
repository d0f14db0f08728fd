package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a server that sends without end and thereby holds up requests to other services and readiness. */
final class EndlessInputTest {
    private static final int SICK_REQUESTS = 4;
    private static final int PART_BYTES = 64 * 1024;
    private static final int LOOKUPS = 8;

    /** Callers of the plain service wait for 1.5 s, and a late answer counts as none after another half a second. */
    private static final long MAX_LOOKUP_MS = 2_000;

    /** The platform asks once a second. */
    private static final long MAX_READINESS_MS = 1_000;

    private final EntryFixture fleet = new EntryFixture();
    private final List<RawServer> servers = new ArrayList<>();
    private final AtomicInteger closed = new AtomicInteger();

    @AfterEach
    void stop() {
        servers.forEach(RawServer::close);
        fleet.close();
    }

    private static final String STREAM = "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

    static Stream<Arguments> endlessAnswers() {
        String stream = STREAM + CHUNKED;
        String failure = "HTTP/1.1 500 Failed\r\n%s" + CHUNKED;
        return Stream.of(
                input("empty lines", stream, i -> RawServer.chunk("\n".repeat(PART_BYTES))),
                input("empty lines without a length", STREAM + "\r\n", i -> "\n".repeat(PART_BYTES)),
                input(
                        "empty lines in chunks of a byte",
                        stream,
                        i -> RawServer.chunk("\n").repeat(PART_BYTES / 6)),
                input("comments", stream, i -> RawServer.chunk(":\n\n".repeat(PART_BYTES / 3))),
                input("a line without an end", stream, i -> RawServer.chunk("x".repeat(PART_BYTES))),
                input(
                        "a line in chunks of a byte",
                        stream,
                        i -> RawServer.chunk("x").repeat(PART_BYTES / 6)),
                input("events without ids", stream, i -> RawServer.chunk("data:\n\n".repeat(PART_BYTES / 7))),
                input("events with ids", stream, i -> RawServer.chunk(events(i))),
                input("events in chunks of their own", stream, EndlessInputTest::chunkedEvents),
                input("an event again and again", stream, i -> RawServer.chunk("id:1\ndata:\n\n".repeat(5_000))),
                input("interim heads", "", i -> "HTTP/1.1 100 Continue\r\n\r\n".repeat(PART_BYTES / 25)),
                input("early hints", "", i -> "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n".repeat(PART_BYTES / 37)),
                input("a head", "HTTP/1.1 200 OK\r\n", i -> "X-Line: x\r\n".repeat(PART_BYTES / 11)),
                input("a header line", "HTTP/1.1 200 OK\r\nX-Line: ", i -> "x".repeat(PART_BYTES)),
                input("a chunk size", stream, i -> "0".repeat(PART_BYTES)),
                input("a chunk extension", stream + "1;", i -> "x".repeat(PART_BYTES)),
                input("trailers", stream + RawServer.chunk("id:1\n\n") + "0\r\n", i -> "X: x\r\n".repeat(10_000)),
                input("the body of a failure", failure, i -> RawServer.chunk("x".repeat(PART_BYTES))),
                input(
                        "the body of a failure in small chunks",
                        failure,
                        i -> RawServer.chunk("x").repeat(PART_BYTES / 6)));
    }

    private static Arguments input(String name, String head, IntFunction<String> part) {
        return Arguments.of(name, head, part);
    }

    private static String events(int part) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 5_000; i++) {
            text.append("id:").append(part * 5_000L + i + 1).append("\n\n");
        }
        return text.toString();
    }

    private static String chunkedEvents(int part) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 5_000; i++) {
            text.append(RawServer.chunk("id:" + (part * 5_000L + i + 1) + "\n\n"));
        }
        return text.toString();
    }

    private boolean sendWithoutEnd(String head, OutputStream out, String answerHead, IntFunction<String> part) {
        try {
            RawServer.write(out, answerHead.replace("%s", RawServer.signed(head)));
            for (int i = 0; ; i++) {
                out.write(part.apply(i).getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            closed.incrementAndGet();
            return false;
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("endlessAnswers")
    void otherRequestsAndReadinessAreServedBeside(String name, String answerHead, IntFunction<String> part)
            throws IOException, InterruptedException {
        fleet.runner("i-1", "plain");
        servers.add(RawServer.start(
                fleet.store, "i-2", "model", (head, out) -> sendWithoutEnd(head, out, answerHead, part)));
        fleet.configure(1);
        fleet.startReady();
        fleet.call("GET", "/read/x").status();
        List<CompletableFuture<String>> streams = new ArrayList<>();
        for (int i = 0; i < SICK_REQUESTS; i++) {
            streams.add(CompletableFuture.supplyAsync(() ->
                    fleet.call("POST", "/report/x", "X-Token-Counts: 10,100").all()));
        }
        for (int i = 0; i < LOOKUPS; i++) {
            long start = System.nanoTime();
            assertThat(fleet.call("GET", "/read/x").status()).isEqualTo(200);
            assertThat(millisSince(start)).as("a lookup").isLessThan(MAX_LOOKUP_MS);
            start = System.nanoTime();
            assertThat(Caller.send(fleet.readiness(0), "GET", "/readyz").status())
                    .isEqualTo(200);
            assertThat(millisSince(start)).as("readiness").isLessThan(MAX_READINESS_MS);
            Thread.sleep(100);
        }
        streams.forEach(s -> assertThat(s.join()).doesNotContain("\r\n0\r\n\r\n"));
        // A server notices the end of its connection with its next write, in a thread of its own.
        EntryFixture.await(() -> closed.get() == servers.get(0).requests().size());
    }

    private static long millisSince(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }
}
