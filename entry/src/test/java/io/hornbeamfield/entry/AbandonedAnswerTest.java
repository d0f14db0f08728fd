package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against answers of sound servers that do not reach their callers. */
final class AbandonedAnswerTest {
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
}
