package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a response whose status is none of HTTP and that reaches its caller as an answer, or never. */
final class InvalidStatusTest {
    private static final long ROUTE_TIMEOUT_MS = 8_000;

    private final EntryFixture fleet = new EntryFixture();
    private RawServer server;

    @AfterEach
    void stop() {
        server.close();
        fleet.close();
    }

    private ReceivedAnswer answerOf(AnsweredRoute route, String status) {
        server = RawServer.start(fleet.store, "i-1", route.service, (head, out) -> {
            RawServer.write(
                    out,
                    "HTTP/1.1 " + status + " Trouble\r\n" + RawServer.signed(head)
                            + "Content-Type: text/event-stream\r\nContent-Length: 5\r\n\r\nwrong");
            return true;
        });
        fleet.configure(1);
        fleet.startReady();
        long startNanos = System.nanoTime();
        ReceivedAnswer answer = ReceivedAnswer.of(fleet.call("POST", route.path).all());
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                .isLessThan(ROUTE_TIMEOUT_MS / 2);
        return answer;
    }

    private static void assertFailed(ReceivedAnswer answer) {
        assertThat(answer.status()).isEqualTo(502);
        assertThat(answer.isSigned()).isFalse();
        assertThat(answer.body()).doesNotContain("wrong");
    }

    @ParameterizedTest
    @ValueSource(strings = {"000", "001", "099", "600", "700", "999", "1000", "20", "-200", "2x0"})
    void aResponseWithAnInvalidStatusIsNoAnswer(String status) {
        assertFailed(answerOf(AnsweredRoute.NON_IDEMPOTENT, status));
    }

    @ParameterizedTest
    @EnumSource
    void noRouteDeliversAnInvalidStatus(AnsweredRoute route) {
        assertFailed(answerOf(route, "000"));
    }
}
