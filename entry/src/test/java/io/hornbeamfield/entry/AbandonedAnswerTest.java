package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.InboundRequest;
import io.hornbeamfield.platform.standin.FakeBackendServer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against answers of sound servers that do not reach their callers. */
final class AbandonedAnswerTest {
    private static final long OBJECTIVE_MS = 4_000;

    /** After the time at which a silent server is left, which is 0.7 objectives. */
    private static final long ANSWER_MS = 3_400;

    /** Ends after the silent server is left, and before half an objective more, for which requests wait. */
    private static final String PAUSE_SECONDS = "4.3";

    private final EntryFixture fleet = new EntryFixture();

    @AfterEach
    void stop() {
        fleet.close();
    }

    /** Guards against an answer that is complete and ends at the deadline, because the parsing of a header failed. */
    @ParameterizedTest
    @ValueSource(strings = {"timeout=99999999999999999999", "timeout=9223372036854775807", "timeout=0", "timeout=x"})
    void anAnswerWithAnOddKeepAliveHeaderIsDelivered(String keepAlive) {
        String event = "id: 1\ndata: piece\n\n";
        try (RawServer model = RawServer.start(fleet.store, "i-1", "model", (head, out) -> {
            RawServer.write(
                    out,
                    "HTTP/1.1 200 OK\r\n" + RawServer.signed(head) + "Keep-Alive: " + keepAlive + "\r\nContent-Length: "
                            + event.length() + "\r\n\r\n" + event);
            return true;
        })) {
            fleet.configure(1);
            fleet.startReady();
            EntryFixture.await(
                    () -> fleet.entries.get(0).blackboard().servers("model").size() == 1);
            for (int i = 0; i < 3; i++) {
                String answer = fleet.call("POST", "/report/x").all();
                assertThat(ReceivedAnswer.of(answer).complete()).as(answer).isTrue();
                assertThat(ReceivedAnswer.of(answer).body()).isEqualTo(event);
            }
            assertThat(model.requests()).hasSize(3);
        }
    }

    /** Guards against a server that is left shortly before it answers, while the other one wants no requests yet. */
    @Test
    void aServerIsNotLeftForOneThatWantsNoRequestsYet() {
        fleet.objectiveMs(OBJECTIVE_MS);
        FakeBackendServer paused = fleet.runner("i-1", "plain");
        paused.respondWith(r -> {
            if (paused.receivedRequests().size() > 1) {
                r.cut();
            } else {
                refuseWithPause(r);
            }
        });
        fleet.configure(1);
        fleet.startReady();
        assertThat(fleet.call("GET", "/read/x").status()).isEqualTo(503);
        fleet.runner("i-2", "plain")
                .respondWith(r -> CompletableFuture.delayedExecutor(ANSWER_MS, TimeUnit.MILLISECONDS)
                        .execute(() -> FakeBackendServer.answer(r, 200, "late")));
        EntryFixture.await(
                () -> fleet.entries.get(0).blackboard().servers("plain").size() == 2);
        assertThat(fleet.call("GET", "/read/x").all()).endsWith("late");
        assertThat(paused.receivedRequests()).hasSize(1);
    }

    private static void refuseWithPause(InboundRequest r) {
        List<Header> headers = new ArrayList<>(FakeBackendServer.signedHeaders(r));
        headers.add(new Header("X-Not-Executed", "1"));
        headers.add(new Header("Retry-After", PAUSE_SECONDS));
        r.reply(503, headers, new byte[0]);
    }
}
