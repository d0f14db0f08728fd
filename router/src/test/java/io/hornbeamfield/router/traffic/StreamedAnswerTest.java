package io.hornbeamfield.router.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.router.Await;
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

    /** The bill must be stored before the answer ends, or a router that dies in between loses it. */
    @Test
    void endOfTheAnswerWaitsForItsBill() throws Exception {
        router.billing.confirmation = new CompletableFuture<>();
        long begin = System.nanoTime();
        CompletableFuture<HttpReply> reply = router.sendAsync(router.chat(true));
        Thread.sleep(150);
        assertThat(reply).isNotDone();
        router.billing.confirmation.complete(null);
        assertThat(reply.get(5, TimeUnit.SECONDS).text()).contains("[DONE]");
        assertThat(System.nanoTime() - begin).isLessThan(TimeUnit.SECONDS.toNanos(3));
    }

    /** A fault in one step must not leave the caller waiting or the request open indefinitely. */
    @Test
    void faultOfTheRouterEndsTheRequestWithAnUnknownOutcome() {
        router.billing.failsNextBill.set(true);
        HttpReply reply = router.send(router.chat(false));
        assertThat(Sse.code(reply)).isEqualTo(4001);
        Await.until(() -> router.traffic.inFlight() == 0);
        assertThat(router.budgets.openReservations()).isZero();
        assertThat(router.send(router.chat(false)).status()).isEqualTo(200);
    }

    /** During a platform outage bills are not confirmed; answers must still end. */
    @Test
    void endOfTheAnswerWaitsNoLongerThanThePresetAllows() {
        router.billing.confirmation = new CompletableFuture<>();
        HttpReply reply = router.send(router.chat(true));
        assertThat(reply.text()).contains("[DONE]");
    }
}
