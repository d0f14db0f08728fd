package io.hornbeamfield.client.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.net.json.Json;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.Optional;

/** Parses refusals from problem details ({@code application/problem+json}). */
final class ProblemReader {
    private ProblemReader() {}

    static Optional<Refusal> read(byte[] body, Map<String, String> headers) {
        try {
            return read(Json.parse(body), headers);
        } catch (UncheckedIOException e) {
            return Optional.empty();
        }
    }

    static Optional<Refusal> read(JsonNode problem, Map<String, String> headers) {
        Optional<Refusal> refusal = ResultCode.ofNumber(problem.path("code").asInt())
                .map(code -> Refusal.of(code, problem.path("detail").asText()));
        String retryAfter = headers.getOrDefault("retry-after", "");
        return retryAfter.matches("[0-9]{1,6}")
                ? refusal.map(r -> r.retryAfter(Integer.parseInt(retryAfter)))
                : refusal;
    }

    /**
     * Returns whether a response is a refusal of the router. An answer of a service may have problem details too; the
     * router adds the key of the request to each answer that it passes on.
     */
    static boolean isRefusal(Map<String, String> headers) {
        return headers.getOrDefault("content-type", "").startsWith("application/problem+json")
                && !headers.containsKey("idempotency-key");
    }
}
