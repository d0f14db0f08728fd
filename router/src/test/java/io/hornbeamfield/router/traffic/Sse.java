package io.hornbeamfield.router.traffic;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.net.json.Json;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;

/** Parses the server-sent events of complete replies. */
final class Sse {
    private Sse() {}

    static List<JsonNode> events(HttpReply reply) {
        return reply.text()
                .lines()
                .filter(l -> l.startsWith("data: {"))
                .map(l -> Json.parse(l.substring(6).getBytes(StandardCharsets.UTF_8)))
                .toList();
    }

    static String text(HttpReply reply) {
        return events(reply).stream()
                .map(e ->
                        e.path("choices").path(0).path("delta").path("content").asText(""))
                .collect(Collectors.joining());
    }

    static String id(HttpReply reply) {
        return events(reply).get(0).path("id").asText();
    }

    static int code(HttpReply reply) {
        return Json.parse(reply.body()).path("code").asInt();
    }

    static String ran(HttpReply reply) {
        return Json.parse(reply.body()).path("ran").asText();
    }
}
