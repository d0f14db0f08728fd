package io.hornbeamfield.client.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.client.HornbeamfieldClient.Settings;
import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.net.json.Json;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * Caches the result of the last address lookup while it is valid. When no router answers a lookup, the last known
 * routers remain in use.
 */
final class AddressCache {
    private static final Duration LOOKUP_TIMEOUT = Duration.ofSeconds(2);

    private final Settings settings;
    private final HttpClient client;
    private Optional<Addresses> cached = Optional.empty();
    private Optional<Refusal> lastRefusal = Optional.empty();
    private Optional<CompletableFuture<Addresses>> pendingLookup = Optional.empty();

    AddressCache(Settings settings, HttpClient client) {
        this.settings = settings;
        this.client = client;
    }

    /** Routers to use, how far the fleet clock is ahead of the local one, and why no router was listed, if known. */
    record Addresses(List<Router> routers, Instant validUntil, long clockAheadSeconds, Optional<Refusal> refusal) {}

    /** Returns the routers to use. The list is empty if no router has answered yet. */
    synchronized CompletableFuture<Addresses> get() {
        if (cached.isPresent()
                && settings.clock().instant().isBefore(cached.get().validUntil())) {
            return CompletableFuture.completedFuture(cached.get());
        }
        if (pendingLookup.isEmpty()) {
            CompletableFuture<Addresses> started = lookUp(lookupAddresses(), 0);
            pendingLookup = Optional.of(started);
            // If the lookup has already completed, the callback clears the field immediately.
            started.whenComplete((answer, failure) -> lookupEnded(answer));
            return started;
        }
        return pendingLookup.get();
    }

    private synchronized void lookupEnded(@Nullable Addresses answer) {
        pendingLookup = Optional.empty();
        if (answer != null && !answer.routers().isEmpty()) {
            cached = Optional.of(answer);
        }
    }

    /** Expires the cached addresses so that the next request repeats the lookup, e.g. because a router is leaving. */
    synchronized void invalidate() {
        cached = cached.map(k -> new Addresses(k.routers(), Instant.MIN, k.clockAheadSeconds(), Optional.empty()));
    }

    private List<String> lookupAddresses() {
        Set<String> all = new LinkedHashSet<>();
        cached.ifPresent(k -> k.routers().forEach(r -> all.add(r.address())));
        all.addAll(settings.seedAddresses());
        return new ArrayList<>(all);
    }

    private CompletableFuture<Addresses> lookUp(List<String> lookupAddresses, int index) {
        if (index >= lookupAddresses.size()) {
            return CompletableFuture.completedFuture(lastKnown());
        }
        HttpCall call = HttpCall.get("http://" + lookupAddresses.get(index) + "/v1/addresses?zone="
                        + URLEncoder.encode(settings.zone(), StandardCharsets.UTF_8))
                .bearer(settings.workspaceKey())
                .header("Connection", "close")
                .timeout(LOOKUP_TIMEOUT)
                .build();
        return client.send(call)
                .thenApply(this::parse)
                .exceptionally(failure -> Optional.empty())
                .thenCompose(answer -> answer.map(CompletableFuture::completedFuture)
                        .orElseGet(() -> lookUp(lookupAddresses, index + 1)));
    }

    private synchronized Addresses lastKnown() {
        List<Router> routers = cached.map(Addresses::routers).orElse(List.of());
        // An immediate new lookup would only add load to a fleet that does not answer.
        Instant until = settings.clock().instant().plusSeconds(1);
        return new Addresses(
                routers, until, cached.map(Addresses::clockAheadSeconds).orElse(0L), lastRefusal);
    }

    private synchronized void recordRefusal(HttpReply reply) {
        lastRefusal = ProblemReader.read(reply.body(), reply.headers());
    }

    private Optional<Addresses> parse(HttpReply reply) {
        if (!reply.isSuccess()) {
            recordRefusal(reply);
            return Optional.empty();
        }
        JsonNode node = Json.parse(reply.body());
        List<Router> routers = new ArrayList<>();
        for (JsonNode r : node.path("routers")) {
            routers.add(new Router(
                    r.path("incarnation").asText(),
                    r.path("address").asText(),
                    r.path("zone").asText()));
        }
        Instant now = settings.clock().instant();
        return routers.isEmpty()
                ? Optional.empty()
                : Optional.of(new Addresses(
                        List.copyOf(routers),
                        now.plusSeconds(node.path("validForSeconds").asLong(15)),
                        node.path("now").asLong() - now.getEpochSecond(),
                        Optional.empty()));
    }
}
