package io.hornbeamfield.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.OpenStream;
import io.hornbeamfield.net.json.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against answers that a test could not check for completeness, owner or token count. */
class EngineReplyTest {
    private final EngineFixture fixture = new EngineFixture(EngineStandIn.builder());
    private final List<OpenStream> opened = new ArrayList<>();

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void wholeAnswerIsTheDeterministicTextAndCountsItsTokens() {
        JsonNode answer =
                Json.parse(fixture.send("r1", "normal", 40, "two words").join().body());
        ReplyText expected = ReplyText.of(EngineFixture.WORKSPACE, EngineFixture.messages("two words"), 40);
        assertThat(answer.path("choices")
                        .path(0)
                        .path("message")
                        .path("content")
                        .asText())
                .isEqualTo(expected.whole());
        assertThat(answer.path("usage").path("prompt_tokens").asInt()).isEqualTo(2);
        assertThat(answer.path("usage").path("completion_tokens").asInt()).isEqualTo(expected.tokens());
    }

    @Test
    void answersOfDifferentWorkspacesAndPromptsDiffer() {
        List<ChatMessage> messages = EngineFixture.messages("same");
        assertThat(ReplyText.of("a", messages, 9).hash())
                .isNotEqualTo(ReplyText.of("b", messages, 9).hash());
        assertThat(ReplyText.of("a", messages, 9).hash())
                .isNotEqualTo(
                        ReplyText.of("a", EngineFixture.messages("other"), 9).hash());
    }

    @Test
    void streamHasAllTokensInOrderThenUsageThenDone() throws Exception {
        var messages = EngineFixture.messages("hello");
        var reader = EngineFixture.Reader.open(fixture.http, fixture.chat("r1", "normal", 30, true, messages), opened);
        reader.ended.get(5, TimeUnit.SECONDS);
        ReplyText expected = ReplyText.of(EngineFixture.WORKSPACE, messages, 30);
        assertThat(reader.content()).isEqualTo(expected.whole());
        List<JsonNode> chunks = reader.chunks();
        for (int i = 0; i < chunks.size(); i++) {
            assertThat(chunks.get(i).path("offset").asInt()).isEqualTo(i);
        }
        assertThat(chunks.get(chunks.size() - 1)
                        .path("usage")
                        .path("completion_tokens")
                        .asInt())
                .isEqualTo(expected.tokens());
        assertThat(reader.done()).isTrue();
    }

    @Test
    void requestForAModelThatIsNotLoadedIsRefusedWithoutARun() {
        var call = HttpCall.post(fixture.url("/v1/chat/completions"))
                .json("{\"model\":\"x\",\"messages\":[{\"role\":\"user\",\"content\":\"a\"}],\"max_tokens\":3}");
        assertThat(fixture.http.send(call.build()).join().status()).isEqualTo(404);
        assertThat(fixture.engine.records()).isEmpty();
    }
}
