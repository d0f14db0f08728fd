package io.hornbeamfield.router.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.router.Await;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a request that an internal error of the router leaves without an answer. */
final class UnansweredAfterFaultTest {
    private static final String NO_ADDRESS = "no address";

    private final TestRouter router = new TestRouter("r1-00000001");

    @AfterEach
    void stop() {
        router.close();
    }

    /** The reservation's future kept the fault, so that nobody saw it. */
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

    private void assertAnswered(HttpReply reply) {
        assertThat(reply.text()).contains("\"ran\":\"unknown\"");
        Await.until(() -> router.traffic.inFlight() == 0);
        assertThat(router.traffic.state()).containsEntry("admitted", 0);
        assertThat(router.budgets.openReservations()).isZero();
        assertThat(router.load.outstanding()).isZero();
    }
}
