package io.hornbeamfield.router;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.client.AnswerListener;
import io.hornbeamfield.client.ChatRequest;
import io.hornbeamfield.client.HornbeamfieldClient;
import io.hornbeamfield.client.Outcome;
import io.hornbeamfield.client.ServiceCall;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.standins.engine.ChatMessage;
import io.hornbeamfield.standins.engine.EngineFaults;
import io.hornbeamfield.standins.engine.ReplyText;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class FleetTest {
    private static final long GRANTED = 100_000;

    private final Fleet fleet = new Fleet(3, GRANTED, 10);
    private final HornbeamfieldClient client = fleet.client();

    @AfterEach
    void stop() {
        client.close();
        fleet.close();
    }

    private static ChatRequest request(String text) {
        return ChatRequest.forModel("m").user(text).maxTokens(40).build();
    }

    private static String expected(String text) {
        return ReplyText.of("plots", List.of(new ChatMessage("user", text)), 40).whole();
    }

    private CompletableFuture<Outcome> chat(String text) {
        return client.chat(request(text), AnswerListener.none());
    }

    private static String text(Outcome outcome) {
        assertThat(outcome).isInstanceOf(Outcome.Answered.class);
        return ((Outcome.Answered) outcome).text();
    }

    @Test
    void streamedPaidRequestIsAnsweredWholeAndItsBillIsSettled() {
        assertThat(text(chat("when to sow").join())).isEqualTo(expected("when to sow"));
        assertThat(fleet.bills()).singleElement().satisfies(bill -> {
            assertThat(bill.tokens()).isEqualTo(fleet.engineTokens());
            assertThat(bill.workspace()).isEqualTo("plots");
            assertThat(bill.status()).isEqualTo("complete");
        });
    }

    @Test
    void serviceCallRunsOnceAndIsBilled() {
        Outcome outcome = client.call(
                        ServiceCall.post("fees", "/orders").json("{}").build())
                .join();
        assertThat(outcome).isInstanceOf(Outcome.Answered.class);
        assertThat(fleet.service.records()).singleElement().satisfies(r -> {
            assertThat(r.count()).isEqualTo(1);
            assertThat(r.workspace()).isEqualTo("plots");
        });
        assertThat(fleet.bills())
                .singleElement()
                .satisfies(b -> assertThat(b.tokens()).isEqualTo(7));
    }

    /** P2 and P3 with concurrent callers: answers are not mixed, and no bill is missing or duplicated. */
    @Test
    void concurrentRequestsGetTheirOwnAnswersAndOneBillEach() {
        List<CompletableFuture<Outcome>> outcomes = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            outcomes.add(chat("plot " + i));
        }
        for (int i = 0; i < 60; i++) {
            assertThat(text(outcomes.get(i).join())).isEqualTo(expected("plot " + i));
        }
        assertThat(fleet.bills()).hasSize(60).extracting(b -> b.requestId()).doesNotHaveDuplicates();
        assertThat(fleet.bills().stream().mapToLong(b -> b.tokens()).sum()).isEqualTo(fleet.engineTokens());
    }

    @Test
    void silentStreamsAreResumedAndNothingIsRunTwice() {
        fleet.engine.inject(EngineFaults.NONE.withSilentStreams(5));
        List<CompletableFuture<Outcome>> outcomes = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            outcomes.add(chat("plot " + i));
        }
        for (int i = 0; i < 10; i++) {
            assertThat(text(outcomes.get(i).join())).isEqualTo(expected("plot " + i));
        }
        assertThat(fleet.engine.records()).hasSize(10);
        assertThat(fleet.bills()).hasSize(10);
    }

    /** P7: a graceful stop interrupts no request, and unspent tokens return to the budget. */
    @Test
    void gracefulStopFinishesOpenStreamsAndReturnsTheTokens() throws Exception {
        List<CompletableFuture<Outcome>> outcomes = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            outcomes.add(chat("plot " + i));
        }
        Await.until(() -> fleet.engine.records().size() >= 10);
        List<CompletableFuture<Void>> left =
                fleet.routers.stream().map(RouterProcess::leave).toList();
        for (int i = 0; i < 20; i++) {
            assertThat(text(outcomes.get(i).join())).isEqualTo(expected("plot " + i));
        }
        for (CompletableFuture<Void> l : left) {
            l.get(40, TimeUnit.SECONDS);
        }
        assertThat(fleet.budget().free()).isEqualTo(GRANTED - fleet.engineTokens());
        assertThat(fleet.bills()).hasSize(20);
    }

    /** When a router dies with open streams, each caller still gets one complete answer and one bill. */
    @Test
    void callersOfADeadRouterGetTheirAnswersElsewhereAndAreBilledOnce() {
        List<CompletableFuture<Outcome>> outcomes = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            outcomes.add(chat("plot " + i));
        }
        Await.until(() -> fleet.engine.records().size() >= 20);
        RouterProcess victim = fleet.routers.stream()
                .filter(r -> fleet.engine.records().stream()
                        .anyMatch(e -> e.requestId().startsWith(r.incarnation())))
                .findFirst()
                .orElseThrow();
        victim.close();
        for (int i = 0; i < 20; i++) {
            assertThat(text(outcomes.get(i).join())).isEqualTo(expected("plot " + i));
        }
        assertThat(fleet.bills()).hasSize(20).extracting(b -> b.requestId()).doesNotHaveDuplicates();
    }

    @Test
    void operatorSeesStateMetricsAndHealthOnlyWithTheToken() {
        for (String path : List.of("/state", "/metrics", "/health")) {
            HttpCall.Builder call = HttpCall.get("http://" + fleet.adminAddresses.get(0) + path);
            assertThat(fleet.http.send(call.build()).join().status()).isEqualTo(401);
            assertThat(fleet.http
                            .send(call.bearer("operator-token").build())
                            .join()
                            .text())
                    .startsWith("{");
        }
    }

    @Test
    void requestAboveTheBudgetIsRefusedAsNotRunAndTheBudgetStaysUsable() {
        Outcome outcome = client.chat(
                        ChatRequest.forModel("m")
                                .user("x".repeat((int) GRANTED))
                                .maxTokens(10)
                                .build(),
                        AnswerListener.none())
                .join();
        assertThat(outcome).isInstanceOf(Outcome.RefusedNotRun.class);
        assertThat(fleet.engine.records()).isEmpty();
        assertThat(text(chat("when to sow").join())).isEqualTo(expected("when to sow"));
    }
}
