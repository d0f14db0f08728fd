package io.hornbeamfield.router.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.config.Preset;
import io.hornbeamfield.core.config.Priority;
import io.hornbeamfield.core.config.StaleConfigPolicy;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.standins.raw.AnswerCut;
import io.hornbeamfield.standins.raw.AnswerCut.Framing;
import io.hornbeamfield.standins.raw.RawResponse;
import io.hornbeamfield.standins.raw.RawResponse.End;
import io.hornbeamfield.standins.raw.RawServer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a model answer that its engine cut and that reaches the caller as whole, or not at all. */
final class AnswerEndTest {
    private static final int TOKENS = 6;
    private static final String WHOLE = "0 1 2 3 4 5 ";
    private static final long USAGE = TOKENS + FakeEngine.PROMPT_TOKENS;
    private static final int LONG_SILENCE_MS = 10_000;

    /** The sixth resume without a token ends a request, so that this allows the test to be delayed by some seconds. */
    private static final int SILENCE_MS = 1_500;

    private static final int SHORT_SILENCE_MS = 300;
    private static final int MAX_CONCURRENT = 128;

    private final TestRouter router = new TestRouter("r1-00000001", preset(LONG_SILENCE_MS));
    private final Map<String, Integer> attempts = new ConcurrentHashMap<>();
    private final RawServer engine = RawServer.start(this::respond);
    private final Map<String, CutAnswer> cuts = new ConcurrentHashMap<>();
    private volatile boolean losesStreams;

    private record CutAnswer(Framing framing, AnswerCut cut, End end) {}

    @BeforeEach
    void addEngine() {
        router.load.add("models", "e1", engine.address());
    }

    @AfterEach
    void stop() {
        router.close();
        engine.close();
    }

    static Stream<Arguments> endsAndFramings() {
        return Stream.of(End.values())
                .flatMap(end -> Stream.of(Framing.values()).map(framing -> Arguments.of(end, framing)));
    }

    private static List<AnswerCut> cuts(Framing framing) {
        List<AnswerCut> cuts = new ArrayList<>(AnswerCut.inHead());
        cuts.addAll(AnswerCut.inFraming(framing));
        cuts.addAll(List.of(
                AnswerCut.after("in an event", "\"offset\":4", 0),
                AnswerCut.after("in the blank line of an event", "\"offset\":4}\n", 0),
                AnswerCut.after("between events", "\"offset\":4}\n\n", 0),
                AnswerCut.after("before the usage", "\"offset\":5}\n\n", 0),
                AnswerCut.after("in the usage", "completion_tokens\":", 0),
                AnswerCut.after("after the usage", "completion_tokens\":6}}\n\n", 0),
                AnswerCut.after("in the end marker", "data: [DONE", 0),
                AnswerCut.after("before the line feed of the end marker", "data: [DONE]", 0)));
        if (framing == Framing.CHUNKS) {
            cuts.add(AnswerCut.after("in a chunk size", "\"offset\":4}\n\n", 3));
            cuts.add(AnswerCut.after("after a chunk size", "\"offset\":4}\n\n", 6));
        }
        return cuts;
    }

    /**
     * Cuts the first attempt, or the second one after two tokens, as the nonce says. Later attempts get the whole
     * answer, unless streams are lost.
     */
    private RawResponse respond(String head) {
        if (head.startsWith("DELETE")) {
            return RawResponse.json(losesStreams ? "404 Not Found" : "200 OK", "{}");
        }
        boolean starts = head.startsWith("POST");
        String id = starts
                ? RawServer.header(head, "X-Request-Id")
                : head.substring(head.indexOf("/v1/streams/") + "/v1/streams/".length(), head.indexOf('?'));
        int from = starts ? 0 : Integer.parseInt(head.replaceAll("(?s).*\\?from=(\\d+).*", "$1"));
        String nonce = id.replaceAll("~.*", "").split("\\.")[2];
        int cutAttempt = nonce.contains("resumed") ? 2 : 1;
        int attempt = attempts.merge(id, 1, Integer::sum);
        if (attempt < cutAttempt) {
            String twoTokens =
                    AnswerCut.after("", "\"offset\":1}\n\n", 0).apply().apply(answer(Framing.CHUNKS, 0));
            return RawResponse.ended(twoTokens, End.CLOSED);
        }
        if (attempt == cutAttempt) {
            CutAnswer cut = cuts.get(nonce);
            return RawResponse.ended(cut.cut.apply().apply(answer(cut.framing, from)), cut.end);
        }
        return losesStreams
                ? RawResponse.json("404 Not Found", "{}")
                : RawResponse.ended(answer(Framing.CHUNKS, from), End.CLOSED);
    }

    private static Preset preset(int silenceMs) {
        return new Preset(
                60,
                0.5,
                60,
                200,
                MAX_CONCURRENT,
                MAX_CONCURRENT,
                0.5,
                0,
                silenceMs,
                500,
                1,
                Priority.LOW,
                StaleConfigPolicy.SERVE);
    }

    private static String answer(Framing framing, int from) {
        List<String> events = new ArrayList<>();
        for (int i = from; i < TOKENS; i++) {
            events.add("data: {\"choices\":[{\"delta\":{\"content\":\"" + i + " \"}}],\"offset\":" + i + "}\n\n");
        }
        events.add("data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"offset\":6,\"usage\":"
                + "{\"prompt_tokens\":5,\"completion_tokens\":6}}\n\n");
        events.add("data: [DONE]\n\n");
        return framing.response("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n", events);
    }

    /** Sends requests whose answers are cut at the first or at a resumed attempt, streamed and not. */
    private Map<String, CompletableFuture<HttpReply>> send(End end, Framing framing, List<AnswerCut> answerCuts) {
        Map<String, CompletableFuture<HttpReply>> sent = new LinkedHashMap<>();
        for (AnswerCut cut : answerCuts) {
            for (String attempt : List.of("started", "resumed")) {
                for (boolean stream : List.of(true, false)) {
                    String nonce = attempt + cuts.size() + (stream ? "streamed" : "whole");
                    cuts.put(nonce, new CutAnswer(framing, cut, end));
                    sent.put(nonce, router.sendAsync(router.chat(stream).header("Idempotency-Key", router.key(nonce))));
                }
            }
        }
        return sent;
    }

    @ParameterizedTest(name = "{0}, {1}")
    @MethodSource("endsAndFramings")
    void aCutAnswerIsResumedWithoutALostOrRepeatedToken(End end, Framing framing) {
        router.publish(preset(end == End.SILENT ? SILENCE_MS : LONG_SILENCE_MS));
        send(end, framing, cuts(framing)).forEach((nonce, future) -> {
            HttpReply reply = future.join();
            String name = nonce + " " + cuts.get(nonce) + " got " + reply.text();
            assertThat(reply.status()).as(name).isEqualTo(200);
            assertThat(nonce.endsWith("streamed") ? Sse.text(reply) : content(reply))
                    .as(name)
                    .isEqualTo(WHOLE);
            assertThat(reply.text())
                    .as(name)
                    .containsOnlyOnce("\"completion_tokens\":6")
                    .doesNotContain("event: error");
            assertThat(reply.text().endsWith("data: [DONE]\n\n")).as(name).isEqualTo(nonce.endsWith("streamed"));
        });
        assertThat(router.billing.bills)
                .hasSize(cuts.size())
                .allSatisfy(b -> assertThat(b.tokens()).isEqualTo(USAGE));
        assertThat(router.budgets.spent()).isEqualTo(cuts.size() * USAGE);
        assertThat(router.budgets.openReservations()).isZero();
        assertThat(attempts).hasSize(cuts.size());
    }

    private static String content(HttpReply reply) {
        return Json.parse(reply.body())
                .path("choices")
                .path(0)
                .path("message")
                .path("content")
                .asText();
    }

    /** A prompt on which engines were lost is quarantined, so that some requests really are not run. */
    @ParameterizedTest(name = "{0}, {1}")
    @MethodSource("endsAndFramings")
    void aCutAnswerThatCannotBeResumedNeverLooksCompleteOrNotRun(End end, Framing framing) {
        router.publish(preset(end == End.SILENT ? SHORT_SILENCE_MS : LONG_SILENCE_MS));
        losesStreams = true;
        List<AnswerCut> incomplete =
                cuts(framing).stream().filter(c -> !c.afterContent()).toList();
        send(end, framing, incomplete).forEach((nonce, future) -> {
            HttpReply reply = future.join();
            String name = nonce + " " + cuts.get(nonce) + " got " + reply.text();
            assertThat(reply.text()).as(name).doesNotContain("[DONE]", "usage").contains("\"ran\":");
            assertThat(reply.status() != 200 || reply.text().contains("event: error\n"))
                    .as(name)
                    .isTrue();
            if (attempts.keySet().stream().anyMatch(id -> id.contains(nonce))) {
                assertThat(reply.text()).as(name).contains("\"ran\":\"unknown\"");
            }
        });
        assertThat(router.budgets.openReservations()).isZero();
        assertThat(router.billing.bills).extracting(b -> b.requestId()).doesNotHaveDuplicates();
    }
}
