package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.http.HttpExchange;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.net.json.Json;
import java.time.Duration;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;

/**
 * Tells which incarnation answers at a caller address, and proves it with the secret that routers share. A paused or
 * replaced owner of a key is noticed this way before a request is relayed to it.
 */
final class Hello {
    static final String PATH = "/v1/hello";
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final String incarnation;
    private final String secret;
    private final HttpClient client;

    Hello(String incarnation, String secret, HttpClient client) {
        this.incarnation = incarnation;
        this.secret = secret;
        this.client = client;
    }

    void answer(HttpExchange exchange) {
        String nonce = exchange.query("nonce").orElse("");
        exchange.replyJson(
                200, Json.bytes(Map.of("incarnation", incarnation, "proof", helloProof(incarnation, nonce))));
    }

    /** Completes with whether the given incarnation answers at the address. */
    CompletableFuture<Boolean> ask(String address, String expected) {
        String nonce = UUID.randomUUID().toString();
        HttpCall call = HttpCall.get("http://" + address + PATH + "?nonce=" + nonce)
                .header("Connection", "close")
                .timeout(TIMEOUT)
                .build();
        return client.send(call)
                .thenApply(reply -> proves(reply, expected, nonce))
                .exceptionally(failure -> false);
    }

    private boolean proves(HttpReply reply, String expected, String nonce) {
        return reply.isSuccess()
                && Json.parse(reply.body()).path("proof").asText().equals(helloProof(expected, nonce));
    }

    private String helloProof(String name, String nonce) {
        return Hashes.hmac(secret, "hello " + nonce + " " + name);
    }

    /** Returns the value of the header that marks a relayed request. */
    String relayHeader(String key) {
        return incarnation + " " + relayProof(incarnation, key);
    }

    /** Returns whether a relayed request was sent by a router. */
    boolean isRelay(String header, String key) {
        String[] parts = header.split(" ", 2);
        return parts.length == 2 && parts[1].equals(relayProof(parts[0], key));
    }

    private String relayProof(String relayer, String key) {
        return Hashes.hmac(secret, "relay " + key + " " + relayer);
    }
}
