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
 * Keeps the last address answer for as long as it is valid. When no router answers, the last known routers are still
 * tried.
 */
final class AddressBook {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final Settings settings;
    private final HttpClient client;
    private Optional<Addresses> known = Optional.empty();
    private Optional<Refusal> lastRefusal = Optional.empty();
    private Optional<CompletableFuture<Addresses>> lookup = Optional.empty();

    AddressBook(Settings settings, HttpClient client) {
        this.settings = settings;
        this.client = client;
    }

    /** The routers to use, how far the fleet's clock is ahead of the own one, and why no router was named. */
    record Addresses(List<Router> routers, Instant validUntil, long clockAheadSeconds, Optional<Refusal> refusal) {}

    /** Returns the routers to use; the list is empty when none has ever answered. */
    synchronized CompletableFuture<Addresses> get() {
        if (known.isPresent() && settings.clock().instant().isBefore(known.get().validUntil())) {
            return CompletableFuture.completedFuture(known.get());
        }
        if (lookup.isEmpty()) {
            CompletableFuture<Addresses> started = ask(sources(), 0);
            lookup = Optional.of(started);
            // A lookup that has ended already is forgotten by the callback at once.
            started.whenComplete((answer, failure) -> ended(answer));
            return started;
        }
        return lookup.get();
    }

    private synchronized void ended(@Nullable Addresses answer) {
        lookup = Optional.empty();
        if (answer != null && !answer.routers().isEmpty()) {
            known = Optional.of(answer);
        }
    }

    /** Makes the next request ask for addresses again, for example because a router is leaving. */
    synchronized void invalidate() {
        known = known.map(k -> new Addresses(k.routers(), Instant.MIN, k.clockAheadSeconds(), Optional.empty()));
    }

    private List<String> sources() {
        Set<String> all = new LinkedHashSet<>();
        known.ifPresent(k -> k.routers().forEach(r -> all.add(r.address())));
        all.addAll(settings.seedAddresses());
        return new ArrayList<>(all);
    }

    private CompletableFuture<Addresses> ask(List<String> sources, int index) {
        if (index >= sources.size()) {
            return CompletableFuture.completedFuture(lastKnown());
        }
        HttpCall call = HttpCall.get("http://" + sources.get(index) + "/v1/addresses?zone="
                        + URLEncoder.encode(settings.zone(), StandardCharsets.UTF_8))
                .bearer(settings.workspaceKey())
                .header("Connection", "close")
                .timeout(TIMEOUT)
                .build();
        return client.send(call)
                .thenApply(this::read)
                .exceptionally(failure -> Optional.empty())
                .thenCompose(answer ->
                        answer.map(CompletableFuture::completedFuture).orElseGet(() -> ask(sources, index + 1)));
    }

    private synchronized Addresses lastKnown() {
        List<Router> routers = known.map(Addresses::routers).orElse(List.of());
        // Asking again at once would only add load to a fleet that does not answer.
        Instant until = settings.clock().instant().plusSeconds(1);
        return new Addresses(
                routers, until, known.map(Addresses::clockAheadSeconds).orElse(0L), lastRefusal);
    }

    private synchronized void noteRefusal(HttpReply reply) {
        lastRefusal = ProblemReader.read(reply.body(), reply.headers());
    }

    private Optional<Addresses> read(HttpReply reply) {
        if (!reply.isSuccess()) {
            noteRefusal(reply);
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
