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
 * Probes routers for liveness and records which to avoid. Each router is probed at most once per second on behalf of
 * all requests that wait for it. A paused router still accepts connections, so only a response counts as alive.
 */
final class RouterHealth {
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration AVOIDANCE_PERIOD = Duration.ofSeconds(5);
    private static final int MAX_ENTRIES = 1_000;

    private final HttpClient client;
    private final Clock clock;
    private final Map<Router, Probe> probes = new HashMap<>();
    private final Map<Router, Instant> avoidedUntil = new HashMap<>();

    private record Probe(Instant startedAt, CompletableFuture<Boolean> alive) {}

    RouterHealth(HttpClient client, Clock clock) {
        this.client = client;
        this.clock = clock;
    }

    /** Returns a future of whether this incarnation of the router answers at its address. */
    synchronized CompletableFuture<Boolean> isAlive(Router router) {
        Instant now = clock.instant();
        Probe last = probes.get(router);
        if (last != null && last.startedAt().plus(PROBE_TIMEOUT).isAfter(now)) {
            return last.alive();
        }
        if (probes.size() > MAX_ENTRIES) {
            probes.clear();
        }
        HttpCall call = HttpCall.get("http://" + router.address() + "/v1/hello")
                .header("Connection", "close")
                .timeout(PROBE_TIMEOUT)
                .build();
        CompletableFuture<Boolean> alive = client.send(call)
                .thenApply(reply -> hasSameIncarnation(reply, router))
                .exceptionally(failure -> false);
        probes.put(router, new Probe(now, alive));
        return alive;
    }

    private static boolean hasSameIncarnation(HttpReply reply, Router router) {
        if (!reply.isSuccess()) {
            return false;
        }
        JsonNode answer = Json.parse(reply.body());
        return answer.path("incarnation").asText().equals(router.incarnation());
    }

    /** Makes new attempts prefer other routers for {@link #AVOIDANCE_PERIOD}. */
    synchronized void avoid(Router router) {
        if (avoidedUntil.size() > MAX_ENTRIES) {
            avoidedUntil.clear();
        }
        avoidedUntil.put(router, clock.instant().plus(AVOIDANCE_PERIOD));
    }

    /** Returns the candidate routers. Avoided routers are left out unless there are no others. */
    synchronized List<Router> preferred(List<Router> routers) {
        Instant now = clock.instant();
        List<Router> candidates = routers.stream()
                .filter(r -> !avoidedUntil.getOrDefault(r, Instant.MIN).isAfter(now))
                .toList();
        return candidates.isEmpty() ? routers : candidates;
    }
}
