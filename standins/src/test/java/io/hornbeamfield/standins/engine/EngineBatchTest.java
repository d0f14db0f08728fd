package io.hornbeamfield.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against an engine model without batching limits, priorities or cache, on which routing would not matter. */
class EngineBatchTest {
    private EngineFixture fixture = new EngineFixture(EngineStandIn.builder());

    @AfterEach
    void close() {
        fixture.close();
    }

    private void start(EngineStandIn.Builder builder) {
        fixture.close();
        fixture = new EngineFixture(builder);
    }

    @Test
    void requestsOverTheSlotsWaitAndTheLoadReportCountsThem() throws Exception {
        start(EngineStandIn.builder().slots(2).tokenMs(5));
        List<CompletableFuture<?>> sent = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            sent.add(fixture.send("r" + i, "normal", 20, "p" + i));
        }
        EngineFixture.await(() -> fixture.engine.records().size() == 5);
        EngineFixture.await(() -> fixture.get("/load").path("running").asInt() == 2);
        assertThat(fixture.get("/load").path("waiting").asInt()).isBetween(1, 3);
        sent.forEach(CompletableFuture::join);
        assertThat(fixture.get("/load").path("running").asInt()).isZero();
    }

    @Test
    void highPriorityIsServedBeforeEarlierLowPriority() {
        start(EngineStandIn.builder().slots(1).tokenMs(5));
        var first = fixture.send("first", "normal", 20, "a");
        awaitRecords(1);
        var low = fixture.send("low", "low", 8, "b");
        awaitRecords(2);
        var high = fixture.send("high", "high", 8, "c");
        CompletableFuture.allOf(first, low, high).join();
        assertThat(fixture.record("high").endedMs())
                .isLessThan(fixture.record("low").endedMs());
    }

    @Test
    void timePerTokenGrowsWithTheBatch() {
        start(EngineStandIn.builder().slots(8).tokenMs(2).addedMsPerRequest(2));
        long alone = durationOf(1);
        long together = durationOf(8);
        assertThat(together).isGreaterThan(3 * alone);
    }

    private long durationOf(int requests) {
        long start = System.nanoTime();
        List<CompletableFuture<?>> sent = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            sent.add(fixture.send("d" + requests + "-" + i, "normal", 20, "same prompt"));
        }
        sent.forEach(CompletableFuture::join);
        return System.nanoTime() - start;
    }

    @Test
    void cachedPromptIsReadFasterAndItsEventsAreShownLate() throws Exception {
        start(EngineStandIn.builder().prefillMsPerToken(1).tokenMs(1).cacheEvents(Duration.ofMillis(400), 0));
        String prompt = "word ".repeat(300);
        long cold = timeOf("cold", prompt);
        assertThat(events()).isEmpty();
        long warm = timeOf("warm", prompt);
        assertThat(warm).isLessThan(cold / 3);
        EngineFixture.await(() -> events().size() == 1);
        assertThat(events().get(0).path("kind").asText()).isEqualTo("stored");
    }

    @Test
    void boundedCacheEvictsTheLeastRecentlyUsedPrompt() {
        start(EngineStandIn.builder().cacheTokens(10).cacheEvents(Duration.ZERO, 0));
        for (String prompt : List.of("a a a a", "b b b b", "c c c c")) {
            fixture.send(prompt, "normal", 1, prompt).join();
        }
        List<JsonNode> events = events();
        assertThat(events).hasSize(4);
        assertThat(events.get(3).path("kind").asText()).isEqualTo("evicted");
        assertThat(events.get(3).path("prefixHash")).isEqualTo(events.get(0).path("prefixHash"));
    }

    @Test
    void cacheEventsHaveGaps() {
        start(EngineStandIn.builder().cacheEvents(Duration.ZERO, 0.5).seed(3));
        for (int i = 0; i < 40; i++) {
            fixture.send("r" + i, "normal", 1, "prompt " + i).join();
        }
        assertThat(events().size()).isBetween(8, 32);
        assertThat(fixture.get("/cache-events?after=0").path("next").asInt()).isEqualTo(40);
    }

    private long timeOf(String id, String prompt) {
        long start = System.nanoTime();
        fixture.send(id, "normal", 1, prompt).join();
        return System.nanoTime() - start;
    }

    private List<JsonNode> events() {
        List<JsonNode> list = new ArrayList<>();
        fixture.get("/cache-events?after=0").path("events").forEach(list::add);
        return list;
    }

    private void awaitRecords(int count) {
        while (fixture.engine.records().size() < count) {
            Thread.onSpinWait();
        }
    }
}
