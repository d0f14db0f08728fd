package io.hornbeamfield.standins.engine.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.core.config.Priority;
import io.hornbeamfield.core.routing.PromptPrefix;
import io.hornbeamfield.net.http.HttpExchange;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.standins.engine.ChatMessage;
import io.hornbeamfield.standins.engine.ReplyText;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.UUID;

/** A completion request. */
public record ChatRequest(
        String id,
        String workspace,
        Priority priority,
        String model,
        List<ChatMessage> messages,
        int maxTokens,
        boolean stream) {
    private static final int MAX_TOKENS_LIMIT = 32_768;

    /** Reads a request; a mistake in it throws {@link IllegalArgumentException}. */
    public static ChatRequest parse(HttpExchange x) {
        JsonNode body;
        try {
            body = Json.parse(x.body());
        } catch (UncheckedIOException e) {
            throw new IllegalArgumentException("The body is not JSON: " + e.getMessage());
        }
        List<ChatMessage> messages = new ArrayList<>();
        body.path("messages")
                .forEach(m -> messages.add(new ChatMessage(
                        m.path("role").asText(), m.path("content").asText())));
        int maxTokens = body.path("max_tokens").asInt();
        if (messages.isEmpty() || maxTokens < 1 || maxTokens > MAX_TOKENS_LIMIT) {
            throw new IllegalArgumentException(
                    "messages must not be empty and max_tokens must be from 1 to " + MAX_TOKENS_LIMIT + ".");
        }
        String priority = x.header("X-Priority").orElse("normal").toUpperCase(Locale.ROOT);
        return new ChatRequest(
                x.header("X-Request-Id").orElseGet(() -> UUID.randomUUID().toString()),
                x.header("X-Workspace").orElse(""),
                Priority.valueOf(priority),
                body.path("model").asText(),
                messages,
                maxTokens,
                body.path("stream").asBoolean());
    }

    ReplyText reply() {
        return ReplyText.of(workspace, messages, maxTokens);
    }

    int promptTokens() {
        return messages.stream().mapToInt(ChatMessage::tokens).sum();
    }

    List<PromptPrefix> prefixes() {
        PromptPrefix.Builder builder = PromptPrefix.builder();
        messages.forEach(m -> builder.message(m.role(), m.content()));
        return builder.build();
    }
}
