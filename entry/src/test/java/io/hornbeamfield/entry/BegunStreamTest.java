package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a begun stream that ends as complete, or goes on with an error, after another server's answer. */
final class BegunStreamTest {
    private static final String EVENTS = "Content-Type: text/event-stream\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

    private final EntryFixture fleet = new EntryFixture();
    private final List<RawServer> servers = new ArrayList<>();

    @BeforeEach
    void allowTimeForTokens() {
        fleet.objectiveMs(4_000);
    }

    @AfterEach
    void stop() {
        fleet.close();
        servers.forEach(RawServer::close);
    }

    /** Writes the answer to a request that resumes a stream. */
    @FunctionalInterface
    private interface Resumed {
        void write(String head, OutputStream out) throws IOException;
    }

    private void start(int count, Resumed resumed) {
        for (int i = 1; i <= count; i++) {
            servers.add(RawServer.start(fleet.store, "i-" + i, "model", (head, out) -> respond(head, out, resumed)));
        }
        fleet.configure(1);
        fleet.startReady();
        EntryFixture.await(
                () -> fleet.entries.get(0).blackboard().servers("model").size() == count);
    }

    private static boolean respond(String head, OutputStream out, Resumed resumed) throws IOException {
        if (RawServer.header(head, "Last-Event-Id").isEmpty()) {
            RawServer.write(out, ok(head, EVENTS + CHUNKED) + RawServer.chunk(event(1)) + RawServer.chunk(event(2)));
        } else {
            resumed.write(head, out);
        }
        return false;
    }

    private static String ok(String head, String more) {
        return "HTTP/1.1 200 OK\r\n" + RawServer.signed(head) + more + "\r\n";
    }

    private static String event(int number) {
        return "id: " + number + "\ndata: piece " + number + "\n\n";
    }

    private static String failure(String head, int status, String more) {
        return "HTTP/1.1 " + status + " Failed\r\n" + RawServer.signed(head) + more + "Content-Length: 6\r\n\r\nfailed";
    }

    static Stream<Arguments> otherAnswers() {
        return Stream.of(
                answer("status 302", (h, out) -> RawServer.write(out, failure(h, 302, ""))),
                answer("status 400", (h, out) -> RawServer.write(out, failure(h, 400, ""))),
                answer("status 404", (h, out) -> RawServer.write(out, failure(h, 404, EVENTS))),
                answer("status 413", (h, out) -> RawServer.write(out, failure(h, 413, ""))),
                answer("status 421", (h, out) -> RawServer.write(out, failure(h, 421, ""))),
                answer("status 429", (h, out) -> RawServer.write(out, failure(h, 429, "X-Not-Executed: 1\r\n"))),
                answer("status 500", (h, out) -> RawServer.write(out, failure(h, 500, ""))),
                answer(
                        "status 500 with events",
                        (h, out) -> RawServer.write(
                                out,
                                "HTTP/1.1 500 Failed\r\n" + RawServer.signed(h) + EVENTS + "Content-Length: "
                                        + event(3).length() + "\r\n\r\n" + event(3))),
                answer("status 503", (h, out) -> RawServer.write(out, failure(h, 503, ""))),
                answer(
                        "status 503, not run",
                        (h, out) -> RawServer.write(out, failure(h, 503, "X-Not-Executed: 1\r\n"))),
                answer("status 504", (h, out) -> RawServer.write(out, failure(h, 504, ""))),
                answer(
                        "status 500 without a length",
                        (h, out) -> RawServer.write(
                                out, "HTTP/1.1 500 Failed\r\n" + RawServer.signed(h) + "\r\nfailed\n\n")),
                answer(
                        "status 200, not run",
                        (h, out) -> RawServer.write(
                                out,
                                ok(h, EVENTS + "X-Not-Executed: 1\r\nContent-Length: 16\r\n") + "id: 3\ndata: no\n\n")),
                answer(
                        "status 200 without a body",
                        (h, out) -> RawServer.write(out, ok(h, EVENTS + "Content-Length: 0\r\n"))),
                answer(
                        "status 200 without events",
                        (h, out) -> RawServer.write(out, ok(h, EVENTS + CHUNKED) + "0\r\n\r\n")),
                answer("status 200 without events and length", (h, out) -> RawServer.write(out, ok(h, EVENTS))),
                answer(
                        "status 204",
                        (h, out) -> RawServer.write(out, "HTTP/1.1 204 No Content\r\n" + RawServer.signed(h) + "\r\n")),
                answer(
                        "a JSON body",
                        (h, out) -> RawServer.write(
                                out,
                                ok(h, "Content-Type: application/json\r\nContent-Length: 20\r\n")
                                        + "{\"error\":\"failed\"}\n\n")),
                answer(
                        "events without ids",
                        (h, out) -> RawServer.write(
                                out, ok(h, EVENTS + CHUNKED) + RawServer.chunk("data: failed\n\n") + "0\r\n\r\n")),
                answer(
                        "events that the caller has",
                        (h, out) -> RawServer.write(
                                out, ok(h, EVENTS + CHUNKED) + RawServer.chunk(event(1) + event(2)) + "0\r\n\r\n")),
                answer("a head that ends early", (h, out) -> RawServer.write(out, "HTTP/1.1 500 Failed\r\nX-Att")),
                answer("no answer", (h, out) -> out.flush()));
    }

    private static Arguments answer(String name, Resumed resumed) {
        return Arguments.of(name, resumed);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("otherAnswers")
    void aBegunStreamDoesNotLookCompleteAfter(String name, Resumed resumed) {
        start(2, resumed);
        String answer = fleet.call("POST", "/chat/x", "X-Token-Counts: 10,10").all();
        assertThat(answer).startsWith("HTTP/1.1 200").contains("piece 1", "piece 2");
        assertThat(answer).doesNotContain("0\r\n\r\n").doesNotContain("failed", "Failed", "no\n");
        assertThat(answer.split("HTTP/1.1")).hasSize(2);
        assertThat(answer.split("data: ")).hasSize(3);
    }

    @Test
    void aBegunStreamResumesAtAThirdServerAfterARefusal() {
        int[] resumes = {0};
        start(3, (head, out) -> {
            if (resumes[0]++ == 0) {
                RawServer.write(out, failure(head, 503, "X-Not-Executed: 1\r\n"));
            } else {
                RawServer.write(out, ok(head, EVENTS + CHUNKED) + RawServer.chunk(event(3)) + "0\r\n\r\n");
            }
        });
        String answer = fleet.call("POST", "/chat/x", "X-Token-Counts: 10,10").all();
        assertThat(answer).contains("piece 1", "piece 2", "piece 3").endsWith("0\r\n\r\n");
    }

    @Test
    void aBegunStreamWithoutIdsIsNotJoinedWithAnotherRun() {
        for (int i = 1; i <= 2; i++) {
            servers.add(RawServer.start(fleet.store, "i-" + i, "model", (head, out) -> {
                RawServer.write(out, ok(head, EVENTS + CHUNKED) + RawServer.chunk("data: piece\n\n"));
                return false;
            }));
        }
        fleet.configure(1);
        fleet.startReady();
        String answer = fleet.call("POST", "/chat/x", "X-Token-Counts: 10,10").all();
        assertThat(answer.split("data: ")).hasSize(2);
        assertThat(answer).doesNotContain("0\r\n\r\n");
        assertThat(servers.stream().mapToInt(s -> s.requests().size()).sum()).isEqualTo(1);
    }

    @Test
    void aBegunStreamDoesNotLookCompleteAtItsDeadline() {
        servers.add(RawServer.start(fleet.store, "i-1", "model", (head, out) -> {
            RawServer.write(out, ok(head, EVENTS + CHUNKED) + RawServer.chunk(event(1)));
            sleep(5_000);
            return false;
        }));
        fleet.configure(1);
        fleet.startReady();
        String answer = Caller.send(
                        fleet.address(0), "POST", "/report/x", EntryFixture.KEY, EntryFixture.ID, "X-Deadline-Ms: 600")
                .all();
        assertThat(answer).contains("piece 1").doesNotContain("0\r\n\r\n");
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
