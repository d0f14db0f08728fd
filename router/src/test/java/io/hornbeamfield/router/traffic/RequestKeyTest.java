package io.hornbeamfield.router.traffic;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.routing.RouterInfo;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.net.http.HttpServer;
import io.hornbeamfield.router.Await;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RequestKeyTest {
    private final FakeEngine engine = new FakeEngine();
    private final TestRouter owner = new TestRouter("r1-00000001");
    private final TestRouter other = new TestRouter("r2-00000002");
    private final List<String> orders = new CopyOnWriteArrayList<>();
    private final HttpServer service = HttpServer.builder()
            .route("POST", "/orders", x -> {
                orders.add(x.header("Idempotency-Key").orElseThrow());
                x.replyJson(200, "{}".getBytes(UTF_8));
            })
            .start();
    private final String key = owner.key("abcdefgh");

    @BeforeEach
    void connect() {
        for (TestRouter r : List.of(owner, other)) {
            r.load.add("models", "e1", engine.address());
            r.load.add("fees", "s1", "127.0.0.1:" + service.port());
            r.board.publishRouters(List.of(owner.info(), other.info()));
        }
    }

    @AfterEach
    void stop() {
        owner.close();
        other.close();
        engine.close();
        service.close();
    }

    private HttpReply chat(TestRouter router, boolean stream) {
        return router.send(router.chat(stream).header("Idempotency-Key", key));
    }

    private HttpReply order(TestRouter router) {
        return router.send(router.post("/v1/services/fees/orders")
                .header("Idempotency-Key", key)
                .body("x".getBytes(UTF_8)));
    }

    @Test
    void retryWhileTheRequestRunsJoinsIt() {
        engine.silentAt = 3;
        var first = owner.sendAsync(owner.chat(true).header("Idempotency-Key", key));
        Await.until(() -> !engine.silentStreams.isEmpty());
        HttpReply second = chat(owner, true);
        assertThat(Sse.text(second)).isEqualTo("0 1 2 3 4 5 ").isEqualTo(Sse.text(first.join()));
        assertThat(engine.started).hasSize(1);
        assertThat(owner.billing.bills).hasSize(1);
    }

    @Test
    void finishedRequestIsReplayedFromTheOffset() {
        chat(owner, true);
        HttpReply replay =
                owner.send(owner.chat(true).header("Idempotency-Key", key).header("Hornbeamfield-From", "4"));
        assertThat(Sse.text(replay)).isEqualTo("4 5 ");
        assertThat(replay.text()).contains("[DONE]");
        assertThat(engine.started).hasSize(1);
    }

    @Test
    void anotherRouterRelaysToTheOwner() {
        HttpReply streamed = chat(other, true);
        assertThat(Sse.text(streamed)).isEqualTo("0 1 2 3 4 5 ");
        assertThat(order(other).status()).isEqualTo(422);
        assertThat(other.billing.bills).isEmpty();
        assertThat(owner.billing.bills).hasSize(1);
    }

    @Test
    void refusalOfTheOwnerPassesThroughTheRelay() {
        owner.board.publishRefusingNewWork(true);
        HttpReply reply = chat(other, false);
        assertThat(Sse.code(reply)).isEqualTo(3003);
        assertThat(engine.started).isEmpty();
    }

    @Test
    void repeatableRequestOfADeadOwnerRunsHereAndIsBilledByTakeover() {
        owner.close();
        assertThat(Sse.text(chat(other, true))).isEqualTo("0 1 2 3 4 5 ");
        assertThat(other.billing.takenOverFrom).containsExactly("r1-00000001");
        assertThat(chat(other, true).status()).isEqualTo(200);
        assertThat(engine.started).singleElement().asString().contains("r2-00000002");
        assertThat(other.billing.bills).hasSize(1);
    }

    /** The owner may have sent the call before it died. */
    @Test
    void nonRepeatableRequestOfADeadOwnerIsAnsweredWithOutcomeUnknown() {
        owner.close();
        HttpReply reply = order(other);
        assertThat(Sse.code(reply)).isEqualTo(4001);
        assertThat(Sse.ran(reply)).isEqualTo("unknown");
        assertThat(orders).isEmpty();
    }

    /** An instance restarted at the same address knows nothing of the keys of its predecessor. */
    @Test
    void successorAtTheOwnersAddressIsNotTakenForTheOwner() {
        RouterInfo stale = new RouterInfo("r0", "r0-0000aaaa", "a", owner.info().callerAddress(), ServerState.LIVE);
        other.board.publishRouters(List.of(stale, other.info()));
        String old = "r0-0000aaaa." + other.clock.instant().getEpochSecond() + ".abcdefgh";
        HttpReply reply = other.send(other.post("/v1/services/fees/orders")
                .header("Idempotency-Key", old)
                .body("x".getBytes(UTF_8)));
        assertThat(Sse.code(reply)).isEqualTo(4001);
        assertThat(orders).isEmpty();
    }

    /** "Not run" would be wrong: the owner may have run the request. */
    @Test
    void takeoverThatIsRefusedStatesThatTheOutcomeIsUnknown() {
        owner.close();
        other.board.publishRefusingNewWork(true);
        HttpReply reply = chat(other, true);
        assertThat(Sse.ran(reply)).isEqualTo("unknown");
    }

    @Test
    void requestRefusedAsNotRunNeverRunsLaterUnderItsKey() {
        owner.board.publishRefusingNewWork(true);
        assertThat(Sse.ran(chat(owner, true))).isEqualTo("no");
        owner.board.publishRefusingNewWork(false);
        assertThat(Sse.ran(chat(owner, true))).isEqualTo("no");
        assertThat(engine.started).isEmpty();
    }

    /** A leaving router must still answer the callers of earlier requests. */
    @Test
    void leavingRouterStillReplaysFinishedRequests() {
        chat(owner, true);
        owner.board.publishRefusingNewWork(true);
        assertThat(Sse.text(chat(owner, true))).isEqualTo("0 1 2 3 4 5 ");
    }

    @Test
    void relayMarkThatNoRouterSignedDoesNotStopARelay() {
        HttpReply reply = other.send(
                other.chat(true).header("Idempotency-Key", key).header("Hornbeamfield-Relay", "r9-00000009 0000"));
        assertThat(Sse.text(reply)).isEqualTo("0 1 2 3 4 5 ");
        assertThat(owner.billing.bills).hasSize(1);
    }

    /** The chunks of two runs must not be joined, because their texts may differ. */
    @Test
    void answerOfAnotherRunIsNotResumedAtAnOffset() {
        chat(owner, true);
        owner.close();
        HttpReply reply = other.send(other.chat(true)
                .header("Idempotency-Key", key)
                .header("Hornbeamfield-From", "4")
                .header("Hornbeamfield-Run", owner.incarnation));
        assertThat(Sse.text(reply)).isEqualTo("0 1 2 3 4 5 ");
        assertThat(reply.headers()).containsEntry("hornbeamfield-run", other.incarnation);
    }

    @Test
    void keyOfAnotherWorkspaceDoesNotRevealItsAnswer() {
        chat(owner, false);
        HttpReply reply = owner.send(owner.chat(false).bearer("other-key").header("Idempotency-Key", key));
        assertThat(engine.started).hasSize(2).doesNotHaveDuplicates();
        assertThat(reply.status()).isEqualTo(200);
        assertThat(owner.billing.bills).extracting(b -> b.workspace()).containsExactly("plots", "other");
        assertThat(owner.billing.bills).extracting(b -> b.requestId()).containsExactly(key + "/plots", key + "/other");
    }
}
