package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.relay.InboundRequest;
import io.hornbeamfield.platform.standin.FakeBackendServer;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against "not run", and a second run, after a server repeated an earlier refusal on a kept connection. */
final class CopiedRefusalTest {
    private static final int REQUESTS = 24;
    private static final String REFUSED = "HTTP/1.1 503 Unavailable\r\n";
    private static final String NOT_RUN = "X-Not-Executed: 1\r\n";
    private static final String EMPTY = "Content-Length: 0\r\n\r\n";

    private final EntryFixture fleet = new EntryFixture();
    private final List<String> runs = new CopyOnWriteArrayList<>();
    private RawServer faulty;
    private String lastRefusal = "";
    private int answers;

    @AfterEach
    void stop() {
        faulty.close();
        fleet.close();
    }

    /** Where a server writes a copy of its refusal. */
    private enum Moment {
        AT_ONCE,
        LATE,
        BEFORE_THE_NEXT_ANSWER
    }

    static Stream<Arguments> copies() {
        String id = "X-Attempt-Id: %s\r\n";
        return Stream.of(
                Arguments.of("a whole copy at once", REFUSED + NOT_RUN + id + EMPTY, Moment.AT_ONCE),
                Arguments.of("a whole copy later", REFUSED + NOT_RUN + id + EMPTY, Moment.LATE),
                Arguments.of("a whole copy in front", REFUSED + NOT_RUN + id + EMPTY, Moment.BEFORE_THE_NEXT_ANSWER),
                Arguments.of("a copy without an id at once", REFUSED + NOT_RUN + EMPTY, Moment.AT_ONCE),
                Arguments.of("a copy without an id in front", REFUSED + NOT_RUN + EMPTY, Moment.BEFORE_THE_NEXT_ANSWER),
                Arguments.of(
                        "a 421 without an id in front",
                        "HTTP/1.1 421 Other\r\n" + EMPTY,
                        Moment.BEFORE_THE_NEXT_ANSWER),
                Arguments.of("a status line at once", REFUSED, Moment.AT_ONCE),
                Arguments.of("half a copy at once", REFUSED + NOT_RUN, Moment.AT_ONCE),
                Arguments.of("half a copy later", REFUSED + NOT_RUN, Moment.LATE),
                Arguments.of("half a copy with its id at once", REFUSED + NOT_RUN + id, Moment.AT_ONCE));
    }

    /** Refuses and runs requests by turns, and writes a copy of each refusal. */
    private boolean respond(String head, OutputStream out, String copy, Moment moment) throws IOException {
        String id = RawServer.header(head, "X-Attempt-Id");
        if (answers++ % 2 == 0) {
            lastRefusal = copy.replace("%s", id);
            String refusal = REFUSED + NOT_RUN + "X-Attempt-Id: " + id + "\r\n" + EMPTY;
            RawServer.write(out, refusal + (moment == Moment.AT_ONCE ? lastRefusal : ""));
            if (moment == Moment.LATE) {
                sleep(20);
                RawServer.write(out, lastRefusal);
            }
        } else {
            runs.add(id);
            String answer = "HTTP/1.1 200 OK\r\n" + RawServer.signed(head) + "Content-Length: 2\r\n\r\nok";
            RawServer.write(out, (moment == Moment.BEFORE_THE_NEXT_ANSWER ? lastRefusal : "") + answer);
        }
        return true;
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("copies")
    void aRequestThatRanIsNeitherCalledNotRunNorRunAgainAfter(String name, String copy, Moment moment) {
        faulty = RawServer.start(fleet.store, "i-1", "plain", (head, out) -> respond(head, out, copy, moment));
        fleet.runner("i-2", "plain").respondWith(this::run);
        fleet.configure(1);
        fleet.startReady();
        EntryFixture.await(
                () -> fleet.entries.get(0).blackboard().servers("plain").size() == 2);
        Map<String, Integer> statuses = new HashMap<>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = "request" + i;
            statuses.put(
                    id,
                    Caller.send(
                                    fleet.address(0),
                                    "POST",
                                    "/write/x",
                                    EntryFixture.KEY,
                                    EntryFixture.DEADLINE,
                                    "X-Attempt-Id: " + id)
                            .status());
            sleep(30);
        }
        assertThat(runs).doesNotHaveDuplicates();
        List<String> refused = new ArrayList<>(statuses.keySet());
        refused.removeIf(id -> statuses.get(id) != 503 && statuses.get(id) != 421);
        assertThat(runs).doesNotContainAnyElementsOf(refused.isEmpty() ? List.of("none") : refused);
        assertThat(faulty.requests().size()).isGreaterThan(2);
    }

    private void run(InboundRequest r) {
        runs.add(String.valueOf(r.header("X-Attempt-Id")));
        FakeBackendServer.answer(r, 200, "ok");
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
