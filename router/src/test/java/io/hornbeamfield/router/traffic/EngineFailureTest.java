package io.hornbeamfield.router.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.router.Await;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EngineFailureTest {
    private static final long RESERVED = "when to sow".length() + 8 + 50;
    private static final long USAGE = 6 + FakeEngine.PROMPT_TOKENS;

    private final FakeEngine engine = new FakeEngine();
    private final FakeEngine second = new FakeEngine();
    private final TestRouter router = new TestRouter("r1-00000001");

    @BeforeEach
    void addEngine() {
        router.load.add("models", "e1", engine.address());
    }

    @AfterEach
    void stop() {
        router.close();
        engine.close();
        second.close();
    }

    @Test
    void brokenStreamIsResumedAtItsOffset() {
        engine.breakAt = 3;
        HttpReply reply = router.send(router.chat(true));
        assertThat(Sse.text(reply)).isEqualTo("0 1 2 3 4 5 ");
        assertThat(engine.resumed).singleElement().asString().endsWith("from 3");
        assertThat(router.budgets.spent()).isEqualTo(USAGE);
    }

    /** A connection can go silent permanently while new ones work. Its late chunks must not reach the caller. */
    @Test
    void silentStreamIsResumedOnAFreshConnectionAndItsLatePartsAreDropped() {
        engine.silentAt = 2;
        engine.tokens = 4;
        var reply = router.sendAsync(router.chat(true));
        Await.until(() -> !engine.resumed.isEmpty());
        engine.silentStreams.forEach(s -> s.write(FakeEngine.event("late", 2, "wrong ")));
        assertThat(Sse.text(reply.join())).isEqualTo("0 1 2 3 ");
        assertThat(engine.resumed).singleElement().asString().endsWith("from 2");
    }

    @Test
    void requestMovesToAnotherServerWhenTheConnectionIsRefused() {
        engine.close();
        router.load.add("models", "e2", second.address());
        for (int i = 0; i < 4; i++) {
            assertThat(router.send(router.chat(true)).status()).isEqualTo(200);
        }
        assertThat(second.started).hasSize(4);
        assertThat(router.load.failedConnects).hasSizeLessThanOrEqualTo(1);
        assertThat(router.budgets.spent()).isEqualTo(4 * USAGE);
    }

    @Test
    void refusalStatesNotRunWhenNothingWasSent() {
        engine.close();
        HttpReply reply = router.send(router.chat(true));
        assertThat(Sse.code(reply)).isEqualTo(3004);
        assertThat(Sse.ran(reply)).isEqualTo("no");
        assertThat(router.budgets.spent()).isZero();
        assertThat(router.budgets.openReservations()).isZero();
        assertThat(router.billing.bills).isEmpty();
    }

    @Test
    void busyEngineIsReplacedByAnotherOne() {
        engine.refusalStatus = 503;
        router.load.add("models", "e2", second.address());
        second.refusalStatus = 0;
        for (int i = 0; i < 3; i++) {
            assertThat(router.send(router.chat(false)).status()).isEqualTo(200);
        }
        assertThat(router.budgets.spent()).isEqualTo(3 * USAGE);
    }

    /** A lost attempt may have produced its tokens, so its reservation is not released. */
    @Test
    void attemptWhoseUsageCannotBeLearntStaysFullySpent() {
        engine.breakAt = 0;
        engine.losesStreams = true;
        engine.reportsUsageOnCancel = false;
        router.load.addresses.get("models").clear();
        router.load.add("models", "e1", engine.address());
        router.load.add("models", "e2", second.address());
        second.breakAt = 0;
        second.losesStreams = true;
        second.reportsUsageOnCancel = false;
        HttpReply reply = router.send(router.chat(true));
        assertThat(Sse.code(reply)).isEqualTo(4003);
        assertThat(Sse.ran(reply)).isEqualTo("unknown");
        long attempts = engine.started.size() + second.started.size();
        // The second engine that is lost under the request is the last one.
        assertThat(attempts).isEqualTo(2);
        assertThat(engine.started).doesNotHaveDuplicates();
        assertThat(router.budgets.spent()).isEqualTo(attempts * RESERVED);
        assertThat(router.billing.bills).singleElement().satisfies(bill -> {
            assertThat(bill.tokens()).isEqualTo(attempts * RESERVED);
            assertThat(bill.status()).isEqualTo("failed");
        });
    }

    /** An engine that answers 404 to the resume and to the cancel has never seen the request. */
    @Test
    void requestThatNeverReachedAnEngineIsNotBilled() {
        engine.losesRequests = true;
        engine.losesStreams = true;
        engine.reportsUsageOnCancel = false;
        HttpReply reply = router.send(router.chat(true));
        assertThat(Sse.code(reply)).isEqualTo(4003);
        assertThat(Sse.ran(reply)).isEqualTo("unknown");
        assertThat(router.billing.bills).isEmpty();
        assertThat(router.budgets.spent()).isEqualTo(engine.started.size() * RESERVED);
        assertThat(router.budgets.openReservations()).isZero();
    }

    @Test
    void lostAttemptIsChargedByTheUsageThatTheCancelTells() {
        engine.breakAt = 2;
        engine.losesStreams = true;
        HttpReply reply = router.send(router.chat(true));
        assertThat(reply.text()).contains("event: error").contains("\"code\":4003");
        assertThat(engine.cancelled).hasSize(1);
        assertThat(router.budgets.spent()).isEqualTo(2 + FakeEngine.PROMPT_TOKENS);
    }

    /** Another attempt may produce different text; a caller must not receive chunks of both. */
    @Test
    void streamThatReachedTheCallerIsNotStartedAgainElsewhere() {
        engine.breakAt = 2;
        engine.losesStreams = true;
        second.breakAt = 2;
        second.losesStreams = true;
        router.load.add("models", "e2", second.address());
        HttpReply reply = router.send(router.chat(true));
        assertThat(engine.started.size() + second.started.size()).isEqualTo(1);
        assertThat(reply.text()).doesNotContain("[DONE]");
    }

    @Test
    void wholeAnswerIsProducedAgainElsewhereWhenAnEngineLosesIt() {
        engine.breakAt = 2;
        engine.losesStreams = true;
        router.load.add("models", "e2", second.address());
        engine.tokens = 9;
        HttpReply reply = router.send(router.chat(false));
        HttpReply next = router.send(router.chat(false));
        assertThat(reply.text() + next.text()).contains("0 1 2 3 4 5 ").doesNotContain("7 8");
    }

    /** The text of a cancelled stream is only a part of the answer. */
    @Test
    void streamThatTheEngineCancelledIsNotTakenForAWholeAnswer() {
        engine.finishReason = "cancelled";
        HttpReply reply = router.send(router.chat(true));
        assertThat(reply.text()).contains("\"code\":4003").doesNotContain("[DONE]");
        assertThat(router.budgets.spent()).isEqualTo(USAGE);
    }

    @Test
    void callerThatLeavesCancelsARequestThatNobodyCanAskForAgain() throws Exception {
        engine.silentAt = 2;
        publishLongSilence();
        router.client.open(router.chat(true).build(), new IgnoringListener()).cancel();
        var open = router.client.open(router.chat(true).build(), new IgnoringListener());
        Await.until(() -> !engine.silentStreams.isEmpty());
        open.cancel();
        Await.until(() -> !engine.cancelled.isEmpty() && router.traffic.inFlight() == 0);
        assertThat(router.billing.bills).anySatisfy(b -> assertThat(b.status()).isEqualTo("cancelled"));
        assertThat(router.budgets.openReservations()).isZero();
    }

    @Test
    void callerThatLeavesCanGetTheAnswerLaterByItsKey() {
        engine.silentAt = 2;
        String key = router.key("leaverkey");
        var open = router.client.open(
                router.chat(true).header("Idempotency-Key", key).build(), new IgnoringListener());
        Await.until(() -> !engine.silentStreams.isEmpty());
        open.cancel();
        HttpReply reply =
                router.send(router.chat(true).header("Idempotency-Key", key).header("Hornbeamfield-From", "1"));
        assertThat(Sse.text(reply)).isEqualTo("1 2 3 4 5 ");
        assertThat(engine.started).hasSize(1);
        assertThat(engine.cancelled).isEmpty();
        assertThat(router.billing.bills).hasSize(1);
    }

    private void publishLongSilence() {
        router.publish(TestRouter.presetWithSilence(20_000));
    }
}
