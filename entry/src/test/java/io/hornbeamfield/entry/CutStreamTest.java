package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a begun stream that the daemon itself ends and that looks complete to its caller. */
final class CutStreamTest {
    private static final int LARGE_EVENTS = 400;

    private final EntryFixture fleet = new EntryFixture();
    private final CountDownLatch testEnd = new CountDownLatch(1);
    private RawServer server;

    @AfterEach
    void stop() {
        testEnd.countDown();
        fleet.close();
        server.close();
    }

    /** Why the daemon ends a stream after its first event. */
    private enum Reason {
        DEADLINE,
        TOO_MANY_EVENTS,
        CALLER_TOO_SLOW,
        ENDLESS_EVENT,
        SERVER_CLOSES,
        SERVER_RESETS,
        END_OF_GRACE
    }

    static Stream<Arguments> reasons() {
        return Stream.of(Reason.values())
                .flatMap(r -> Stream.of(Arguments.of("HTTP/1.0", r), Arguments.of("HTTP/1.1", r)));
    }

    private boolean respond(OutputStream out, String head, Reason reason) throws IOException {
        RawServer.write(
                out,
                "HTTP/1.1 200 OK\r\n" + RawServer.signed(head)
                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + RawServer.chunk(event(1, "piece 1")));
        switch (reason) {
            case TOO_MANY_EVENTS -> {
                for (int i = 2; i < 60; i++) {
                    RawServer.write(out, RawServer.chunk(event(i, "piece " + i)));
                }
                await();
            }
            case CALLER_TOO_SLOW -> {
                for (int i = 2; i < LARGE_EVENTS; i++) {
                    RawServer.write(out, RawServer.chunk(event(i, "x".repeat(100_000))));
                }
                await();
            }
            case ENDLESS_EVENT -> {
                for (int i = 0; i < 40; i++) {
                    RawServer.write(out, RawServer.chunk("y".repeat(100_000)));
                }
                await();
            }
            case SERVER_RESETS -> throw new RawServer.ConnectionReset();
            case SERVER_CLOSES -> out.flush();
            default -> await();
        }
        return false;
    }

    private void await() {
        try {
            testEnd.await(30, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String event(int number, String data) {
        return "id: " + number + "\ndata: " + data + "\n\n";
    }

    @ParameterizedTest(name = "{0}, {1}")
    @MethodSource("reasons")
    void aStreamThatTheDaemonEndsDoesNotLookComplete(String version, Reason reason) throws InterruptedException {
        server = RawServer.start(fleet.store, "i-1", "model", (head, out) -> respond(out, head, reason));
        fleet.objectiveMs(4_000);
        fleet.configure(1);
        EntryProcess entry = fleet.startReady();
        try (Caller caller = Caller.sendAs(
                version,
                fleet.address(0),
                "POST",
                "/report/x",
                EntryFixture.KEY,
                EntryFixture.ID,
                "X-Deadline-Ms: " + (reason == Reason.DEADLINE ? 800 : 8_000),
                "X-Token-Counts: 10," + (reason == Reason.CALLER_TOO_SLOW ? 1_000 : 10))) {
            caller.awaitText("piece 1");
            if (reason == Reason.END_OF_GRACE) {
                entry.shutDown().orTimeout(15, TimeUnit.SECONDS).join();
                entry.close();
            } else if (reason == Reason.CALLER_TOO_SLOW) {
                Thread.sleep(2_000);
            }
            String text = caller.all();
            ReceivedAnswer answer = ReceivedAnswer.of(text);
            String shown = text.substring(0, Math.min(500, text.length())) + "..."
                    + text.substring(Math.max(0, text.length() - 100));
            assertThat(answer.status()).as(shown).isEqualTo(200);
            assertThat(answer.complete()).as(shown).isFalse();
            assertThat(answer.body()).as(shown).startsWith(event(1, "piece 1"));
            assertThat(text.split("id: 1\n")).as(shown).hasSize(2);
            if (version.equals("HTTP/1.0")) {
                assertThat(text).as(shown).doesNotContain("Transfer-Encoding").endsWith("[connection reset]");
            }
        }
    }
}
