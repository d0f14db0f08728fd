package io.hornbeamfield.client;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.net.http.HttpExchange;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class StreamResumeTest {
    private final FakeRouter first = new FakeRouter("r1-00000001");
    private final FakeRouter second = new FakeRouter("r2-00000002");
    private final StringBuffer received = new StringBuffer();
    private final HornbeamfieldClient client = HornbeamfieldClient.builder()
            .seedAddresses(first.address())
            .workspaceKey("k")
            .resumeAfterSilence(Duration.ofMillis(300))
            .maxTries(4)
            .build();

    private final AnswerListener listener = new AnswerListener() {
        @Override
        public void text(long offset, String content) {
            received.append(content);
        }

        @Override
        public void restarted() {
            received.append("| ");
        }
    };

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
        return client.chat(ChatRequest.forModel("m").user("when to sow").build(), listener)
                .join();
    }

    private static String text(Outcome outcome) {
        return ((Outcome.Answered) outcome).text();
    }

    @Test
    void brokenStreamIsResumedAtItsOffset() {
        first.script.add(FakeRouter.serve("r1", "w", 0, 2, false));
        second.script.add(FakeRouter.serve("r1", "w", 2, 4, true));
        assertThat(text(chat())).isEqualTo("w0 w1 w2 w3 ");
        assertThat(received).hasToString("w0 w1 w2 w3 ");
        assertThat(second.resumePoints).containsExactly("2/r1");
        assertThat(second.keys).isEqualTo(first.keys);
    }

    /** Another run may produce a different text, so parts of two runs must not be joined. */
    @Test
    void answerOfAnotherRunRestartsAtOffsetZero() {
        first.script.add(FakeRouter.serve("r1", "w", 0, 2, false));
        second.script.add(FakeRouter.serve("r2", "v", 0, 4, true));
        assertThat(text(chat())).isEqualTo("v0 v1 v2 v3 ");
        assertThat(received).hasToString("w0 w1 | v0 v1 v2 v3 ");
    }

    @Test
    void endMarkerAfterTooFewTokensIsNotACompleteAnswer() {
        first.script.add(FakeRouter.serve("r1", "w", 0, 3, true));
        second.script.add(FakeRouter.serve("r1", "w", 3, 4, true));
        assertThat(text(chat())).isEqualTo("w0 w1 w2 w3 ");
    }

    @Test
    void stalledStreamIsResumedAtAnotherRouter() {
        first.script.add(x -> x.startStream(200, Map.of("Content-Type", "text/event-stream"))
                .write(FakeRouter.event(x.header("Idempotency-Key").orElseThrow(), 0, "{\"content\":\"w0 \"}", "")));
        second.script.add(FakeRouter.serve("r1", "w", 1, 4, true));
        assertThat(text(chat())).isEqualTo("w0 w1 w2 w3 ");
    }

    @Test
    void eventOfAnotherRequestNeverReachesTheCaller() {
        first.script.add(x -> x.startStream(200, Map.of("Content-Type", "text/event-stream"))
                .write(FakeRouter.event("other", 0, "{\"content\":\"wrong \"}", "")));
        assertThat(text(chat())).isEqualTo("w0 w1 w2 w3 ");
        assertThat(received.toString()).doesNotContain("wrong");
    }

    @Test
    void errorWithinTheStreamIsTheOutcome() {
        first.script.add(x -> {
            var s = x.startStream(200, Map.of("Content-Type", "text/event-stream"));
            s.write(FakeRouter.event(x.header("Idempotency-Key").orElseThrow(), 0, "{\"content\":\"w0 \"}", ""));
            s.write("event: error\ndata: {\"code\":4003,\"detail\":\"x\"}\n\n"
                    .getBytes(java.nio.charset.StandardCharsets.UTF_8));
            s.end();
        });
        assertThat(chat()).isEqualTo(new Outcome.OutcomeUnknown(Refusal.of(ResultCode.BACKEND_FAILED, "x")));
    }

    static Stream<Arguments> otherAnswers() {
        return Stream.of(
                answer("status 404", x -> x.replyJson(404, failed())),
                answer("status 500", x -> x.replyJson(500, failed())),
                answer("status 503", x -> x.replyJson(503, failed())),
                answer("status 504", x -> x.replyJson(504, failed())),
                answer("a JSON body", x -> x.replyJson(200, failed())),
                answer("no body", x -> x.reply(200, Map.of("Content-Type", "text/event-stream"), new byte[0])),
                answer("no answer", FakeRouter.abort()));
    }

    private static Arguments answer(String name, Consumer<HttpExchange> resumed) {
        return Arguments.of(name, resumed);
    }

    private static byte[] failed() {
        return "{\"error\":\"failed\"}".getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }

    /** Guards against an error's text in an answer, and against a begun answer that ends as complete. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("otherAnswers")
    void aBegunAnswerIsResumedAgainAfter(String name, Consumer<HttpExchange> resumed) {
        first.script.add(FakeRouter.serve("r1", "w", 0, 2, false));
        second.script.add(resumed);
        first.script.add(FakeRouter.serve("r1", "w", 2, 4, true));
        assertThat(text(chat())).isEqualTo("w0 w1 w2 w3 ");
        assertThat(received).hasToString("w0 w1 w2 w3 ");
        assertThat(first.keys).hasSize(2);
    }

    /**
     * Guards against "not run" for a request of which the caller has a part, and against a second, billed run of it.
     */
    @Test
    void aBegunAnswerIsNeverReportedAsNotRun() {
        first.script.add(FakeRouter.serve("r1", "w", 0, 2, false));
        for (int i = 0; i < 2; i++) {
            first.script.add(FakeRouter.refuse(Refusal.of(ResultCode.OVERLOADED, "busy")));
            second.script.add(FakeRouter.refuse(Refusal.of(ResultCode.OVERLOADED, "busy")));
        }
        assertThat(chat()).isInstanceOf(Outcome.OutcomeUnknown.class);
        List<String> keys = new ArrayList<>(first.keys);
        keys.addAll(second.keys);
        assertThat(keys).hasSize(4).containsOnly(first.keys.get(0));
        assertThat(received).hasToString("w0 w1 ");
    }

    /** Guards against an answer that goes on beyond the tokens of its request until the memory is used up. */
    @Test
    void anAnswerWithoutAnEndIsNotCollectedBeyondTheTokensOfItsRequest() {
        int maxTokens = 40;
        for (int i = 0; i < 20; i++) {
            first.script.add(FakeRouter.serve("r1", "w", 0, 10 * maxTokens, false));
            second.script.add(FakeRouter.serve("r1", "w", 0, 10 * maxTokens, false));
        }
        ChatRequest request = ChatRequest.forModel("m")
                .user("when to sow")
                .maxTokens(maxTokens)
                .build();
        assertThat(client.chat(request, listener).join()).isNotInstanceOf(Outcome.Answered.class);
        assertThat(received.toString().split(" ")).hasSizeLessThanOrEqualTo(maxTokens + 16);
    }

    /** Guards against "not run" after the text of the first run was discarded for that of another one. */
    @Test
    void anAnswerThatStartedAgainIsNeverTakenForNotRun() {
        first.script.add(FakeRouter.serve("r1", "w", 0, 2, false));
        second.script.add(x -> {
            var s = x.startStream(200, Map.of("Content-Type", "text/event-stream", "Hornbeamfield-Run", "r2"));
            s.write("event: error\ndata: {\"code\":3001,\"detail\":\"busy\"}\n\n"
                    .getBytes(java.nio.charset.StandardCharsets.UTF_8));
            s.end();
        });
        assertThat(text(chat())).isEqualTo("w0 w1 w2 w3 ");
        assertThat(first.keys).hasSize(2).containsOnly(second.keys.get(0));
    }
}
