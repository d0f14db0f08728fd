package io.hornbeamfield.client;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.net.json.Json;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RetryTest {
    private final FakeRouter first = new FakeRouter("r1-00000001");
    private final FakeRouter second = new FakeRouter("r2-00000002");
    private final ChatRequest request =
            ChatRequest.forModel("m").user("when to sow").build();
    private final HornbeamfieldClient client = HornbeamfieldClient.builder()
            .seedAddresses(first.address(), second.address())
            .workspaceKey("k")
            .resumeAfterSilence(Duration.ofMillis(300))
            .maxTries(5)
            .build();

    @BeforeEach
    void listBothRouters() {
        first.listedRouters = List.of(first, second);
        second.listedRouters = List.of(first, second);
    }

    @AfterEach
    void stop() {
        client.close();
        first.close();
        second.close();
    }

    private Outcome chat() {
        return client.chat(request, AnswerListener.none()).join();
    }

    private Outcome order() {
        return client.call(ServiceCall.post("fees", "/orders").json("{}").build())
                .join();
    }

    @Test
    void keyNamesTheSelectedRouterAndHasTheTimeOfTheFleet() {
        assertThat(chat()).isInstanceOf(Outcome.Answered.class);
        String[] parts = first.keys.get(0).split("\\.");
        assertThat(parts[0]).isEqualTo("r1-00000001");
        long now = java.time.Instant.now().getEpochSecond();
        assertThat(Long.parseLong(parts[1]) - now)
                .isBetween(FakeRouter.FLEET_CLOCK_AHEAD_SECONDS - 2, FakeRouter.FLEET_CLOCK_AHEAD_SECONDS + 2);
    }

    @Test
    void addressesAreLookedUpOnceWhileTheyAreValid() {
        chat();
        chat();
        assertThat(first.lookups + second.lookups).isEqualTo(1);
        assertThat(first.keys).doesNotHaveDuplicates().hasSize(2);
    }

    @Test
    void refusedConnectionLeadsToANewKeyWithAnotherOwner() {
        chat();
        first.close();
        assertThat(order()).isInstanceOf(Outcome.Answered.class);
        assertThat(second.keys).singleElement().asString().startsWith("r2-00000002.");
    }

    /** Once the request has been sent, a retry with a new key could run the order twice. */
    @Test
    void brokenAnswerIsRetriedWithTheSameKeyAtAnotherRouter() {
        first.script.add(FakeRouter.abort());
        assertThat(order()).isInstanceOf(Outcome.Answered.class);
        assertThat(second.keys).isEqualTo(first.keys).hasSize(1);
    }

    @Test
    void refusalThatStatesNotRunGetsANewKey() {
        first.script.add(FakeRouter.refuse(Refusal.of(ResultCode.LEAVING, "")));
        assertThat(order()).isInstanceOf(Outcome.Answered.class);
        assertThat(second.keys).singleElement().asString().startsWith("r2-00000002.");
    }

    /** Guards against a call that runs twice because its service answered with problem details of its own. */
    @Test
    void problemDetailsOfAServiceAreItsAnswerAndNoRefusalOfTheRouter() {
        byte[] body = Json.bytes(Map.of("code", ResultCode.OVERLOADED.number(), "ran", "no"));
        first.script.add(x -> x.reply(
                503,
                Map.of(
                        "Content-Type",
                        "application/problem+json",
                        "Idempotency-Key",
                        x.header("Idempotency-Key").orElseThrow()),
                body));
        assertThat(order())
                .isInstanceOfSatisfying(
                        Outcome.Answered.class, a -> assertThat(a.status()).isEqualTo(503));
        assertThat(first.keys.size() + second.keys.size()).isEqualTo(1);
    }

    @Test
    void retryAfterIsHonoured() {
        first.script.add(
                FakeRouter.refuse(Refusal.of(ResultCode.BUDGET_BUSY, "").retryAfter(1)));
        long begin = System.nanoTime();
        assertThat(chat()).isInstanceOf(Outcome.Answered.class);
        assertThat(System.nanoTime() - begin).isGreaterThan(900_000_000L);
    }

    @Test
    void permanentRefusalIsReportedAsNotRunWithoutFurtherAttempts() {
        first.script.add(FakeRouter.refuse(Refusal.of(ResultCode.BUDGET_EXHAUSTED, "Top up.")));
        assertThat(chat())
                .isInstanceOfSatisfying(
                        Outcome.RefusedNotRun.class,
                        r -> assertThat(r.refusal().code()).isEqualTo(ResultCode.BUDGET_EXHAUSTED));
        assertThat(first.keys.size() + second.keys.size()).isEqualTo(1);
    }

    /** Guards against sending a prompt that crashes engines to one router after the other. */
    @Test
    void aQuarantinedPromptIsReportedWithoutFurtherAttempts() {
        first.script.add(FakeRouter.refuse(
                Refusal.of(ResultCode.PROMPT_QUARANTINED, "Change the prompt.").retryAfter(1)));
        assertThat(chat())
                .isInstanceOfSatisfying(
                        Outcome.RefusedNotRun.class,
                        r -> assertThat(r.refusal().code()).isEqualTo(ResultCode.PROMPT_QUARANTINED));
        assertThat(first.keys.size() + second.keys.size()).isEqualTo(1);
    }

    /** A starting router knows nothing of the earlier attempt, which may have run. */
    @Test
    void notRunFromARouterThatDidNotLookUpTheKeyLeavesTheOutcomeUnknown() {
        first.script.add(FakeRouter.abort());
        for (FakeRouter r : List.of(first, second, first, second)) {
            r.script.add(FakeRouter.refuse(Refusal.of(ResultCode.STARTING, "")));
        }
        assertThat(order()).isInstanceOf(Outcome.OutcomeUnknown.class);
        assertThat(first.keys.get(0)).isEqualTo(second.keys.get(0)).isEqualTo(second.keys.get(1));
    }

    /**
     * A router that cannot reach the owner of a key runs the request in its place. The owner, paused in the meantime,
     * refuses its own copy as not run; with a new key the request could run a second time.
     */
    @Test
    void notRunFromTheOwnerLeavesTheOutcomeUnknownOnceAnotherRouterMayHaveRunTheRequest() {
        first.script.add(FakeRouter.abort());
        second.script.add(FakeRouter.abort());
        for (FakeRouter r : List.of(first, second, first)) {
            r.script.add(FakeRouter.refuse(Refusal.of(ResultCode.OVERLOADED, "")));
        }
        assertThat(order()).isInstanceOf(Outcome.OutcomeUnknown.class);
        assertThat(first.keys).hasSize(3).containsOnly(second.keys.get(0));
        assertThat(second.keys).hasSize(2).containsOnly(first.keys.get(0));
    }

    @Test
    void unknownOutcomeIsRetriedWithTheSameKey() {
        first.script.add(FakeRouter.abort());
        second.script.add(FakeRouter.refuse(Refusal.of(ResultCode.OUTCOME_UNKNOWN, "")));
        assertThat(order()).isInstanceOf(Outcome.Answered.class);
        assertThat(first.keys).hasSize(2).containsOnly(second.keys.get(0));
    }

    /** A paused router still accepts connections, but its callers must not wait until their deadline. */
    @Test
    void pausedRouterIsDetectedByFailedProbesAndAvoidedAfterwards() {
        first.script.add(x -> first.paused = true);
        long begin = System.nanoTime();
        assertThat(order()).isInstanceOf(Outcome.Answered.class);
        assertThat(System.nanoTime() - begin).isLessThan(8_000_000_000L);
        assertThat(second.keys).isEqualTo(first.keys);
        assertThat(order()).isInstanceOf(Outcome.Answered.class);
        assertThat(first.keys).hasSize(1);
    }

    @Test
    void slowRouterThatIsAliveIsWaitedFor() {
        first.script.add(x -> java.util.concurrent.CompletableFuture.delayedExecutor(
                        3, java.util.concurrent.TimeUnit.SECONDS)
                .execute(() -> x.replyJson(200, "{}".getBytes(java.nio.charset.StandardCharsets.UTF_8))));
        assertThat(order()).isInstanceOf(Outcome.Answered.class);
        assertThat(second.keys).isEmpty();
    }

    @Test
    void fleetThatCannotBeReachedIsReportedAsNotRun() {
        first.close();
        second.close();
        assertThat(chat()).isInstanceOf(Outcome.RefusedNotRun.class);
    }
}
