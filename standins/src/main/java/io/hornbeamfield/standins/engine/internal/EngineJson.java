package io.hornbeamfield.standins.engine.internal;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** JSON of the engine's answers. */
final class EngineJson {
    private EngineJson() {}

    static ObjectNode usage(Run run) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("prompt_tokens", run.promptTokens())
                .put("completion_tokens", run.produced());
    }

    static ObjectNode whole(Run run) {
        ObjectNode answer =
                JsonNodeFactory.instance.objectNode().put("id", run.request().id());
        ObjectNode choice = answer.putArray("choices").addObject().put("index", 0);
        choice.put("finish_reason", run.finishReason());
        choice.putObject("message")
                .put("role", "assistant")
                .put("content", run.reply().part(0, run.produced()));
        answer.set("usage", usage(run));
        return answer;
    }
}
