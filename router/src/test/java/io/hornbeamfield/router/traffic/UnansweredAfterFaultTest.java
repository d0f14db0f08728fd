package io.hornbeamfield.router.traffic;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.routing.RouterInfo;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.router.Await;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a request that an internal error of the router leaves without an answer. */
final class UnansweredAfterFaultTest {
    private static final String NO_ADDRESS = "no address";
    private static final int TIMEOUT_MS = 10_000;

    private final TestRouter router = new TestRouter("r1-00000001");
    private final TestRouter other = new TestRouter("r2-00000002");

    @AfterEach
    void stop() {
        router.close();
        other.close();
    }

    /** A future keeps the exception of its action, so that the request had no end. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aModelRequestIsAnsweredIfItsEngineHasNoValidAddress(boolean stream) {
        router.load.add("models", "e1", NO_ADDRESS);
        assertAnswered(router.send(router.chat(stream)));
    }

    @Test
    void aServiceCallIsAnsweredIfItsServerHasNoValidAddress() {
        router.load.add("fees", "s1", NO_ADDRESS);
        assertAnswered(router.send(router.post("/v1/services/fees/prices")));
    }

    /** The probe's future kept the fault. */
    @ParameterizedTest
    @ValueSource(strings = {"a|b", "{", "%zz"})
    void aRequestWhoseQueryCannotBeRelayedIsAnswered(String query) throws IOException {
        other.board.publishRouters(List.of(router.info(), other.info()));
        byte[] body = TestRouter.chatBody(false);
        try (Socket s = new Socket("127.0.0.1", other.traffic.port())) {
            s.setSoTimeout(TIMEOUT_MS);
            String head = "POST /v1/chat/completions?" + query + " HTTP/1.1\r\nHost: r\r\nConnection: close\r\n"
                    + "Authorization: Bearer secret-key\r\nIdempotency-Key: " + router.key("abcdefgh")
                    + "\r\nContent-Length: " + body.length + "\r\n\r\n";
            s.getOutputStream().write(head.getBytes(ISO_8859_1));
            s.getOutputStream().write(body);
            assertThat(new String(s.getInputStream().readAllBytes(), ISO_8859_1))
                    .contains("\"ran\":\"unknown\"", router.incarnation);
        }
        Await.until(() -> other.traffic.inFlight() == 0);
    }

    /** The executor only logged the fault of the probe. */
    @Test
    void aRequestIsAnsweredIfTheOwnerOfItsKeyHasNoValidAddress() {
        other.board.publishRouters(
                List.of(new RouterInfo("r1", router.incarnation, "a", NO_ADDRESS, ServerState.LIVE), other.info()));
        HttpReply reply = other.send(other.chat(false).header("Idempotency-Key", router.key("abcdefgh")));
        assertThat(reply.text()).contains("\"ran\":\"unknown\"");
    }

    private void assertAnswered(HttpReply reply) {
        assertThat(reply.text()).contains("\"ran\":\"unknown\"");
        Await.until(() -> router.traffic.inFlight() == 0);
        assertThat(router.traffic.state()).containsEntry("admitted", 0);
        assertThat(router.budgets.openReservations()).isZero();
        assertThat(router.load.outstanding()).isZero();
    }
}
