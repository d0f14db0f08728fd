package io.hornbeamfield.router.traffic.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Utf8;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.core.routing.PromptPrefix;
import io.hornbeamfield.net.json.Json;
import java.io.UncheckedIOException;
import java.util.Set;

/**
 * Validates the body of a model request. Only known fields are forwarded, because an engine option such as several
 * choices per request could produce more tokens than were reserved.
 */
final class ModelRequestParser {
    static final int MAX_BODY_BYTES = 1 << 20;
    private static final int MAX_MESSAGES = 1024;
    private static final long MAX_TOKENS = 32_768;
    private static final long DEFAULT_MAX_TOKENS = 256;

    /** Allowance in the prompt bound for the tokens that a chat template adds to each message. */
    private static final long TOKENS_PER_MESSAGE = 8;

    private static final Set<String> ROLES = Set.of("system", "user", "assistant", "tool");
    private static final Set<String> HANDLED_FIELDS = Set.of("model", "messages", "max_tokens", "stream", "n", "user");
    private static final Set<String> FORWARDED_FIELDS =
            Set.of("temperature", "top_p", "seed", "stop", "presence_penalty", "frequency_penalty");

    private ModelRequestParser() {}

    /** Returns the validated request or throws {@link RefusalException}. */
    static Work.Model parse(byte[] body) {
        if (body.length > MAX_BODY_BYTES) {
            throw RefusalException.refused(
                    ResultCode.TOO_LARGE,
                    "The body has " + body.length + " bytes; at most " + MAX_BODY_BYTES + " are allowed.");
        }
        JsonNode root = json(body);
        checkFields(root);
        String model = root.path("model").asText("");
        if (model.isEmpty()) {
            throw RefusalException.malformed("Field \"model\" must be a non-empty string.");
        }
        long maxTokens = maxTokens(root.path("max_tokens"));
        ObjectNode engineBody = JsonNodeFactory.instance.objectNode();
        engineBody.put("model", model);
        engineBody.set("messages", root.path("messages"));
        engineBody.put("max_tokens", maxTokens);
        engineBody.put("stream", true);
        FORWARDED_FIELDS.stream().filter(root::has).forEach(f -> engineBody.set(f, root.path(f)));
        PromptPrefix.Builder prefixes = PromptPrefix.builder();
        long tokenBound = promptTokenBound(root.path("messages"), prefixes);
        return new Work.Model(model, prefixes.build(), tokenBound, maxTokens, stream(root), Json.bytes(engineBody));
    }

    private static JsonNode json(byte[] body) {
        try {
            JsonNode root = Json.parse(body);
            if (root.isObject()) {
                return root;
            }
        } catch (UncheckedIOException e) {
            throw RefusalException.malformed("The body is not JSON: " + e.getMessage());
        }
        throw RefusalException.malformed("The body must be a JSON object.");
    }

    private static void checkFields(JsonNode root) {
        root.fieldNames().forEachRemaining(field -> {
            if (!HANDLED_FIELDS.contains(field) && !FORWARDED_FIELDS.contains(field)) {
                throw RefusalException.malformed("Field \"" + field + "\" is not supported. Remove it.");
            }
        });
        if (root.has("n") && root.path("n").asInt() != 1) {
            throw RefusalException.malformed("Field \"n\" must be 1.");
        }
    }

    private static boolean stream(JsonNode root) {
        JsonNode stream = root.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean()) {
            throw RefusalException.malformed("Field \"stream\" must be true or false.");
        }
        return stream.asBoolean(false);
    }

    private static long maxTokens(JsonNode node) {
        if (node.isMissingNode()) {
            return DEFAULT_MAX_TOKENS;
        }
        if (!node.isIntegralNumber() || node.asLong() < 1 || node.asLong() > MAX_TOKENS) {
            throw RefusalException.malformed(
                    "Field \"max_tokens\" must be an integer between 1 and " + MAX_TOKENS + ".");
        }
        return node.asLong();
    }

    private static long promptTokenBound(JsonNode messages, PromptPrefix.Builder prefixes) {
        if (!messages.isArray() || messages.isEmpty() || messages.size() > MAX_MESSAGES) {
            throw RefusalException.malformed(
                    "Field \"messages\" must be a list of 1 to " + MAX_MESSAGES + " messages.");
        }
        long tokenBound = 0;
        for (JsonNode message : messages) {
            JsonNode content = message.path("content");
            if (!content.isTextual() || !ROLES.contains(message.path("role").asText())) {
                throw RefusalException.malformed(
                        "Each message needs a \"role\" (system, user, assistant or tool) and a text \"content\".");
            }
            if (message.size() != 2) {
                throw RefusalException.malformed("A message has only the fields \"role\" and \"content\".");
            }
            tokenBound += utf8Length(content.asText()) + TOKENS_PER_MESSAGE;
            prefixes.message(message.path("role").asText(), content.asText());
        }
        return tokenBound;
    }

    private static long utf8Length(String text) {
        try {
            return Utf8.encodedLength(text);
        } catch (IllegalArgumentException e) {
            throw RefusalException.malformed("A message content has an unpaired surrogate: " + e.getMessage());
        }
    }
}
