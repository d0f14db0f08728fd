package io.hornbeamfield.net.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.net.json.Json;
import java.util.HashMap;
import java.util.Map;

/**
 * Renders refusals as problem details (RFC 9457), extended by the numeric result code and whether the request was
 * executed.
 *
 * <pre>{@code
 * ProblemDetails.reply(exchange, Refusal.of(ResultCode.UNKNOWN_POOL, "There is no pool \"fees\"."));
 * }</pre>
 */
public final class ProblemDetails {
    private ProblemDetails() {}

    /** Replies to a request with a refusal. */
    public static void reply(HttpExchange exchange, Refusal refusal) {
        Map<String, String> headers = new HashMap<>();
        headers.put("Content-Type", "application/problem+json");
        refusal.retryAfterSeconds().ifPresent(s -> headers.put("Retry-After", Integer.toString(s)));
        exchange.reply(refusal.code().httpStatus(), headers, Json.bytes(tree(refusal)));
    }

    /** Converts a refusal to a JSON object. */
    public static ObjectNode tree(Refusal refusal) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("type", "https://hornbeamfield.io/codes/" + refusal.code().number());
        node.put("title", refusal.code().title());
        node.put("status", refusal.code().httpStatus());
        node.put("detail", refusal.detail());
        node.put("code", refusal.code().number());
        node.put("ran", refusal.code().ran().wireName());
        return node;
    }
}
