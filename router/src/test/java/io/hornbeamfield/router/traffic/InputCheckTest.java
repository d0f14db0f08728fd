package io.hornbeamfield.router.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.config.Preset;
import io.hornbeamfield.core.config.Priority;
import io.hornbeamfield.core.config.StaleConfigPolicy;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.net.json.Json;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class InputCheckTest {
    private final FakeEngine engine = new FakeEngine();
    private final TestRouter router = new TestRouter("r1-00000001");

    @BeforeEach
    void addEngine() {
        router.load.add("models", "e1", engine.address());
    }

    @AfterEach
    void stop() {
        assertThat(router.budgets.openReservations()).isZero();
        router.close();
        engine.close();
    }

    private int codeOf(String body) {
        HttpReply reply = router.send(router.post("/v1/chat/completions").json(body));
        assertThat(engine.started).isEmpty();
        return Sse.code(reply);
    }

    private int codeWith(String header, String value) {
        return Sse.code(router.send(router.chat(true).header(header, value)));
    }

    @Test
    void malformedBodiesAreRefused() {
        assertThat(codeOf("{")).isEqualTo(1001);
        assertThat(codeOf("[]")).isEqualTo(1001);
        assertThat(codeOf("{\"model\":\"m\",\"messages\":[]}")).isEqualTo(1001);
        String messages = "\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]";
        assertThat(codeOf("{\"model\":\"x\"," + messages + "}")).isEqualTo(1004);
        assertThat(codeOf("{\"model\":\"m\"," + messages + ",\"max_tokens\":0}"))
                .isEqualTo(1001);
        assertThat(codeOf("{\"model\":\"m\"," + messages + ",\"stream\":1}")).isEqualTo(1001);
    }

    /** Several choices would produce more tokens than max_tokens, which is all that is reserved. */
    @Test
    void severalChoicesAreRefused() {
        String messages = "\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]";
        assertThat(codeOf("{\"model\":\"m\"," + messages + ",\"n\":2}")).isEqualTo(1001);
        assertThat(codeOf("{\"model\":\"m\"," + messages + ",\"best_of\":2}")).isEqualTo(1001);
    }

    @Test
    void bodyAboveTheLimitIsRefused() {
        assertThat(codeOf("{\"model\":\"" + "m".repeat(1 << 20) + "\"}")).isEqualTo(1006);
    }

    @Test
    void headersAreChecked() {
        assertThat(codeWith("Authorization", "Bearer wrong")).isEqualTo(1002);
        assertThat(codeWith("Idempotency-Key", "k")).isEqualTo(1007);
        assertThat(codeWith("Hornbeamfield-Priority", "urgent")).isEqualTo(1001);
        assertThat(codeWith("Hornbeamfield-Deadline-Ms", "-5")).isEqualTo(1001);
        assertThat(codeWith("Hornbeamfield-Budget", "a/b")).isEqualTo(1001);
        assertThat(codeWith("Hornbeamfield-Deadline-Ms", "0")).isEqualTo(3002);
        assertThat(engine.started).isEmpty();
    }

    @Test
    void unknownPoolAndMissingRoutesAreRefused() {
        assertThat(Sse.code(router.send(router.post("/v1/services/none/x")))).isEqualTo(1005);
        assertThat(Sse.code(router.send(router.post("/v1/services/models/x")))).isEqualTo(1005);
    }

    @Test
    void requestIsRefusedWhenTheBudgetDoesNotCoverTheWorstCase() {
        String body = "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"" + "a".repeat(99_990)
                + "\"}],\"max_tokens\":10}";
        assertThat(codeOf(body)).isEqualTo(2001);
    }

    @Test
    void staleConfigurationIsRefusedOnlyWhenThePresetSaysSo() {
        router.board.publishConfigStale(true);
        assertThat(router.send(router.chat(true)).status()).isEqualTo(200);
        router.publish(
                new Preset(60, 0.5, 60, 200, 32, 32, 0.5, 0, 300, 500, 1, Priority.LOW, StaleConfigPolicy.REFUSE));
        assertThat(Sse.code(router.send(router.chat(true)))).isEqualTo(3006);
    }

    @Test
    void priorityBelowThePresetIsShed() throws Exception {
        router.publish(
                new Preset(60, 0.5, 60, 200, 32, 32, 0.5, 0, 300, 500, 1, Priority.NORMAL, StaleConfigPolicy.SERVE));
        Thread.sleep(250);
        assertThat(codeWith("Hornbeamfield-Priority", "low")).isEqualTo(3001);
        assertThat(router.send(router.chat(true).header("Hornbeamfield-Priority", "high"))
                        .status())
                .isEqualTo(200);
    }

    @Test
    void engineGetsTheLimitThatIsReservedAndThePriorityOfTheWorkspaceAtMost() {
        router.send(router.chat(true).header("Hornbeamfield-Priority", "high"));
        assertThat(engine.lastBody.path("max_tokens").asInt()).isEqualTo(50);
        assertThat(engine.lastBody.path("stream").asBoolean()).isTrue();
        assertThat(engine.lastPriority).isEqualTo("normal");
    }

    @Test
    void addressAnswerNamesLiveRouters() {
        HttpReply reply = router.send(HttpCall.get("http://127.0.0.1:" + router.traffic.port() + "/v1/addresses?zone=a")
                .bearer("secret-key"));
        assertThat(Json.parse(reply.body())
                        .path("routers")
                        .path(0)
                        .path("incarnation")
                        .asText())
                .isEqualTo("r1-00000001");
        assertThat(Json.read(reply.body(), Map.class)).containsEntry("validForSeconds", 15);
    }
}
