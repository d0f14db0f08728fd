package io.hornbeamfield.router.traffic.internal;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.stream.Collectors;

/** Builds the JSON of model answers. */
final class ModelJson {
    private ModelJson() {}

    static ObjectNode usage(Usage usage) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("prompt_tokens", usage.promptTokens())
                .put("completion_tokens", usage.completionTokens())
                .put("total_tokens", usage.total());
    }

    static ObjectNode completion(String id, AnswerOutcome.Model end, List<Chunk> chunks) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("id", id);
        ObjectNode choice = node.putArray("choices").addObject();
        choice.put("index", 0);
        ObjectNode message = choice.putObject("message");
        message.put("role", "assistant");
        message.put("content", chunks.stream().map(Chunk::content).collect(Collectors.joining()));
        choice.put("finish_reason", end.finishReason());
        node.set("usage", usage(end.usage()));
        return node;
    }
}
