package io.hornbeamfield.client.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.net.json.Json;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Asks routers whether they are alive, at most once a second each, for all requests that wait for them. A paused router
 * still accepts connections, so only an answer counts.
 */
final class RouterHealth {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final Duration AVOID = Duration.ofSeconds(5);
    private static final int MAX_KEPT = 1_000;

    private final HttpClient client;
    private final Clock clock;
    private final Map<Router, Probe> probes = new HashMap<>();
    private final Map<Router, Instant> avoidedUntil = new HashMap<>();

    private record Probe(Instant startedAt, CompletableFuture<Boolean> alive) {}

    RouterHealth(HttpClient client, Clock clock) {
        this.client = client;
        this.clock = clock;
    }

    /** Completes with whether the incarnation answers at its address. */
    synchronized CompletableFuture<Boolean> isAlive(Router router) {
        Instant now = clock.instant();
        Probe last = probes.get(router);
        if (last != null && last.startedAt().plus(TIMEOUT).isAfter(now)) {
            return last.alive();
        }
        if (probes.size() > MAX_KEPT) {
            probes.clear();
        }
        HttpCall call = HttpCall.get("http://" + router.address() + "/v1/hello")
                .header("Connection", "close")
                .timeout(TIMEOUT)
                .build();
        CompletableFuture<Boolean> alive = client.send(call)
                .thenApply(reply -> isIncarnation(reply, router))
                .exceptionally(failure -> false);
        probes.put(router, new Probe(now, alive));
        return alive;
    }

    private static boolean isIncarnation(HttpReply reply, Router router) {
        if (!reply.isSuccess()) {
            return false;
        }
        JsonNode answer = Json.parse(reply.body());
        return answer.path("incarnation").asText().equals(router.incarnation());
    }

    /** Makes new tries prefer other routers for a few seconds. */
    synchronized void avoid(Router router) {
        if (avoidedUntil.size() > MAX_KEPT) {
            avoidedUntil.clear();
        }
        avoidedUntil.put(router, clock.instant().plus(AVOID));
    }

    /** Returns the routers to try; those to avoid are left out unless no other is there. */
    synchronized List<Router> preferred(List<Router> routers) {
        Instant now = clock.instant();
        List<Router> fit = routers.stream()
                .filter(r -> !avoidedUntil.getOrDefault(r, Instant.MIN).isAfter(now))
                .toList();
        return fit.isEmpty() ? routers : fit;
    }
}
