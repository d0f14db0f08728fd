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
 * Proves and verifies router incarnations with the secret that all routers share. A probe before each relay detects
 * that the owner of a key is paused or was replaced.
 */
final class RouterIdentity {
    static final String PATH = "/v1/hello";
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

    private final String incarnation;
    private final String secret;
    private final HttpClient client;

    RouterIdentity(String incarnation, String secret, HttpClient client) {
        this.incarnation = incarnation;
        this.secret = secret;
        this.client = client;
    }

    void handleChallenge(HttpExchange exchange) {
        String nonce = exchange.query("nonce").orElse("");
        exchange.replyJson(
                200, Json.bytes(Map.of("incarnation", incarnation, "proof", incarnationProof(incarnation, nonce))));
    }

    /** Probes an address. Completes with whether the expected incarnation answers there. */
    CompletableFuture<Boolean> probe(String address, String expected) {
        String nonce = UUID.randomUUID().toString();
        HttpCall call = HttpCall.get("http://" + address + PATH + "?nonce=" + nonce)
                .header("Connection", "close")
                .timeout(PROBE_TIMEOUT)
                .build();
        return client.send(call)
                .thenApply(reply -> isProofOf(reply, expected, nonce))
                .exceptionally(failure -> false);
    }

    private boolean isProofOf(HttpReply reply, String expected, String nonce) {
        return reply.isSuccess()
                && Json.parse(reply.body()).path("proof").asText().equals(incarnationProof(expected, nonce));
    }

    private String incarnationProof(String name, String nonce) {
        return Hashes.hmac(secret, "hello " + nonce + " " + name);
    }

    /** Returns the value of the header that marks a request as relayed. */
    String relayHeader(String key) {
        return incarnation + " " + relayProof(incarnation, key);
    }

    /** Returns whether the header proves that a router relayed the request with this key. */
    boolean isAuthenticRelay(String header, String key) {
        String[] parts = header.split(" ", 2);
        return parts.length == 2 && parts[1].equals(relayProof(parts[0], key));
    }

    private String relayProof(String relayer, String key) {
        return Hashes.hmac(secret, "relay " + key + " " + relayer);
    }
}
