package io.hornbeamfield.router.traffic.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.net.json.Json;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** One event of an engine stream. An event with content carries one token, whose text may be empty. */
record EngineEvent(
        boolean done, long offset, Optional<String> content, Optional<String> finishReason, Optional<Usage> usage) {

    /** Parses the data of an event. Malformed data throws {@link java.io.UncheckedIOException}. */
    static EngineEvent parse(String data) {
        if (data.equals("[DONE]")) {
            return new EngineEvent(true, 0, Optional.empty(), Optional.empty(), Optional.empty());
        }
        JsonNode node = Json.parse(data.getBytes(StandardCharsets.UTF_8));
        JsonNode choice = node.path("choices").path(0);
        JsonNode content = choice.path("delta").path("content");
        JsonNode finish = choice.path("finish_reason");
        return new EngineEvent(
                false,
                node.path("offset").asLong(0),
                content.isTextual() ? Optional.of(content.asText()) : Optional.empty(),
                finish.isTextual() ? Optional.of(finish.asText()) : Optional.empty(),
                usage(node.path("usage")));
    }

    /** Parses a usage object, if there is one. */
    static Optional<Usage> usage(JsonNode node) {
        return node.hasNonNull("completion_tokens")
                ? Optional.of(new Usage(
                        node.path("prompt_tokens").asLong(),
                        node.path("completion_tokens").asLong()))
                : Optional.empty();
    }
}
