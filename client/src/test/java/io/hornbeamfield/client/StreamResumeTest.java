package io.hornbeamfield.client;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.ResultCode;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

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
}
