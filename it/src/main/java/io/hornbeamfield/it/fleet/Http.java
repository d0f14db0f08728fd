package io.hornbeamfield.it.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.net.json.Json;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionException;

/** Blocking calls to control endpoints on loopback addresses. */
final class Http implements AutoCloseable {
    private final HttpClient client = HttpClient.create("harness");

    JsonNode get(String address, String path) {
        return send(HttpCall.get("http://" + address + path));
    }

    JsonNode send(HttpCall.Builder call) {
        HttpReply reply =
                client.send(call.timeout(Duration.ofSeconds(10)).build()).join();
        if (!reply.isSuccess()) {
            throw new IllegalStateException("Status " + reply.status() + ": " + reply.text());
        }
        return Json.parse(reply.body());
    }

    /** Returns the answer, or nothing if there is no successful one. */
    Optional<JsonNode> tryGet(HttpCall.Builder call) {
        try {
            HttpReply reply =
                    client.send(call.timeout(Duration.ofSeconds(2)).build()).join();
            return reply.isSuccess() ? Optional.of(Json.parse(reply.body())) : Optional.empty();
        } catch (CompletionException e) {
            return Optional.empty();
        }
    }

    HttpClient client() {
        return client;
    }

    @Override
    public void close() {
        client.close();
    }
}
