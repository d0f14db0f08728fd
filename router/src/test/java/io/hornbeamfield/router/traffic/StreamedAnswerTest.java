package io.hornbeamfield.router.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.router.Waiting;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StreamedAnswerTest {
    private final FakeEngine engine = new FakeEngine();
    private final TestRouter router = new TestRouter("r1-00000001");

    @BeforeEach
    void addEngine() {
        router.load.add("models", "e1", engine.address());
    }

    @AfterEach
    void stop() {
        router.close();
        engine.close();
    }

    @Test
    void streamedRequestIsServedBilledAndSettled() {
        HttpReply reply = router.send(router.chat(true).header("Idempotency-Key", router.key("abcdefgh")));
        assertThat(reply.status()).isEqualTo(200);
        assertThat(Sse.text(reply)).isEqualTo("0 1 2 3 4 5 ");
        assertThat(reply.text()).endsWith("data: [DONE]\n\n").contains("\"completion_tokens\":6");
        assertThat(router.billing.bills).singleElement().satisfies(bill -> {
            assertThat(bill.requestId()).isEqualTo(Sse.id(reply) + "/plots");
            assertThat(bill.tokens()).isEqualTo(6 + FakeEngine.PROMPT_TOKENS);
            assertThat(bill.status()).isEqualTo("complete");
        });
        assertThat(router.budgets.spent()).isEqualTo(6 + FakeEngine.PROMPT_TOKENS);
        assertThat(router.budgets.openReservations()).isZero();
        assertThat(router.load.outstanding()).isZero();
    }

    @Test
    void wholeAnswerHasTheTextOfAllParts() {
        HttpReply reply = router.send(router.chat(false));
        assertThat(reply.text()).contains("\"content\":\"0 1 2 3 4 5 \"").contains("\"total_tokens\":11");
    }

    /** A router that dies after the end of an answer must not lose the bill. */
    @Test
    void endOfTheAnswerWaitsForItsBill() throws Exception {
        router.billing.stored = new CompletableFuture<>();
        long begin = System.nanoTime();
        CompletableFuture<HttpReply> reply = router.sendAsync(router.chat(true));
        Thread.sleep(150);
        assertThat(reply).isNotDone();
        router.billing.stored.complete(null);
        assertThat(reply.get(5, TimeUnit.SECONDS).text()).contains("[DONE]");
        assertThat(System.nanoTime() - begin).isLessThan(TimeUnit.SECONDS.toNanos(3));
    }

    /** A fault in one step must not leave the caller waiting or the request open for ever. */
    @Test
    void faultOfTheRouterEndsTheRequestWithAnUnknownOutcome() {
        router.billing.throwsOnce.set(true);
        HttpReply reply = router.send(router.chat(false));
        assertThat(Sse.code(reply)).isEqualTo(4001);
        Waiting.until(() -> router.traffic.open() == 0);
        assertThat(router.budgets.openReservations()).isZero();
        assertThat(router.send(router.chat(false)).status()).isEqualTo(200);
    }

    /** In a platform outage bills are not confirmed; answers must still end. */
    @Test
    void endOfTheAnswerWaitsNoLongerThanThePresetAllows() {
        router.billing.stored = new CompletableFuture<>();
        HttpReply reply = router.send(router.chat(true));
        assertThat(reply.text()).contains("[DONE]");
    }
}
