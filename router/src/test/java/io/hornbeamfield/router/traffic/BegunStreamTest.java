package io.hornbeamfield.router.traffic;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.http.HttpExchange;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.net.http.ResponseStream;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a begun stream that ends as complete, or contains an engine's error, after it was resumed. */
final class BegunStreamTest {
    private final FakeEngine engine = new FakeEngine();
    private final TestRouter router = new TestRouter("r1-00000001");

    @AfterEach
    void stop() {
        router.close();
        engine.close();
    }

    static Stream<Arguments> otherAnswers() {
        return Stream.of(
                answer("status 400", x -> fail(x, 400)),
                answer("status 404", x -> fail(x, 404)),
                answer("status 429", x -> fail(x, 429)),
                answer("status 500", x -> fail(x, 500)),
                answer("status 503", x -> fail(x, 503)),
                answer("status 504", x -> fail(x, 504)),
                answer("a JSON body", x -> fail(x, 200)),
                answer("no body", x -> x.reply(200, Map.of("Content-Type", "text/event-stream"), new byte[0])),
                answer("an end marker", x -> stream(x, "data: [DONE]\n\n")),
                answer(
                        "the usage of another answer",
                        x -> stream(
                                x,
                                "data: {\"choices\":[{\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":5,"
                                        + "\"completion_tokens\":6}}\n\ndata: [DONE]\n\n")),
                answer("an error event", x -> stream(x, "event: error\ndata: {\"error\":\"failed\"}\n\n")),
                answer("an unreadable event", x -> stream(x, "data: failed\n\n")));
    }

    private static Arguments answer(String name, Consumer<HttpExchange> resumed) {
        return Arguments.of(name, resumed);
    }

    private static void fail(HttpExchange x, int status) {
        x.replyJson(status, "{\"error\":\"failed\"}".getBytes(UTF_8));
    }

    private static void stream(HttpExchange x, String body) {
        ResponseStream s = x.startStream(200, Map.of("Content-Type", "text/event-stream"));
        s.write(body.getBytes(UTF_8));
        s.end();
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("otherAnswers")
    void aBegunStreamEndsWithAnErrorEventAfter(String name, Consumer<HttpExchange> resumed) {
        router.load.add("models", "e1", engine.address());
        engine.breakAt = 2;
        engine.resumeAnswer = resumed;
        HttpReply reply = router.send(router.chat(true));
        assertThat(reply.text()).contains("event: error\n", "\"code\":4003").doesNotContain("[DONE]", "\"failed\"");
        assertThat(Sse.text(reply)).isEqualTo("0 1 ");
    }

    @Test
    void aBegunStreamEndsWithAnErrorEventWhenItsEngineEndsResumedStreamsEarly() {
        router.load.add("models", "e1", engine.address());
        engine.breakAt = 2;
        engine.resumeAnswer = x -> stream(x, "");
        HttpReply reply = router.send(router.chat(true));
        assertThat(reply.text()).endsWith("\n\n").contains("event: error\n").doesNotContain("[DONE]");
    }
}
