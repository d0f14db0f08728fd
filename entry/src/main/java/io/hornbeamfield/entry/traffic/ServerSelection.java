package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.discovery.BackendServer;
import io.hornbeamfield.core.placement.Candidate;
import io.hornbeamfield.core.placement.ServicePlacement;
import io.hornbeamfield.core.route.HomeRegions;
import io.hornbeamfield.core.route.ServiceSpec;
import io.hornbeamfield.platform.RequestHead;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/** Selects the servers for the attempts of one request by the placement policy of its service. */
final class ServerSelection {
    private final TrafficContext context;
    private final String service;
    private final Optional<ServiceSpec> spec;
    private final RequestHead head;
    private final HomeRegions homeRegions;
    private final Set<String> tried = new HashSet<>();
    private @Nullable Predicate<BackendServer> limit;
    private StreamObserver observer = StreamObserver.NONE;
    private OptionalLong shortestRetryAfterMs = OptionalLong.empty();

    ServerSelection(
            TrafficContext context,
            String service,
            Optional<ServiceSpec> spec,
            RequestHead head,
            HomeRegions homeRegions) {
        this.homeRegions = homeRegions;
        this.context = context;
        this.service = service;
        this.spec = spec;
        this.head = head;
    }

    /** Returns the ids of the selected servers for the log. */
    String describeTried() {
        return String.join(",", tried);
    }

    /** Limits the selection to certain servers, in place of an earlier limit. */
    void limitTo(Predicate<BackendServer> servers) {
        limit = servers;
    }

    /** Returns whether the limit of this request allows a server, whose registration may have changed meanwhile. */
    boolean allows(BackendServer server) {
        Predicate<BackendServer> l = limit;
        return l == null || l.test(server);
    }

    private List<ServerConnectionPool> usable() {
        List<ServerConnectionPool> usable = context.pools().usable(service);
        return limit == null && !homeRegions.restricted()
                ? usable
                : usable.stream()
                        .filter(l -> allows(l.server()) && isAtHome(l.server()))
                        .toList();
    }

    private boolean isAtHome(BackendServer server) {
        return homeRegions.allowsServer(server.zone(), context.zoneRegions());
    }

    private List<ServerConnectionPool> untried() {
        return usable().stream().filter(l -> !tried.contains(l.server().id())).toList();
    }

    /** Returns whether a server that has not been selected takes a request within the given time. */
    boolean hasUntried(long withinMs) {
        return untried().stream().anyMatch(l -> l.delayMs() <= withinMs);
    }

    /** Returns the time until a server that has not been selected takes a request, empty if there is none. */
    OptionalLong delayMs() {
        return untried().stream().mapToLong(ServerConnectionPool::delayMs).min();
    }

    /** Records that a server declined the request and when it asked for it again, 0 if it named no time. */
    void recordDeclined(long retryAfterMs) {
        shortestRetryAfterMs = OptionalLong.of(Math.min(retryAfterMs, shortestRetryAfterMs.orElse(retryAfterMs)));
    }

    /** Returns the time until any server takes a further request, 0 if none is known that will. */
    long earliestMs() {
        long delayMs =
                usable().stream().mapToLong(ServerConnectionPool::delayMs).min().orElse(0);
        return untried().isEmpty() ? Math.max(delayMs, shortestRetryAfterMs.orElse(0)) : delayMs;
    }

    /**
     * Counts a refusal by its reason, and returns a description of the reason.
     *
     * @param detail description if neither an evacuation nor home regions exclude all servers
     */
    String recordRefused(String detail) {
        List<BackendServer> atHome = context.blackboard().registeredServers(service).stream()
                .filter(this::isAtHome)
                .toList();
        List<BackendServer> usable = context.blackboard().servers(service);
        if (!atHome.isEmpty() && atHome.stream().noneMatch(usable::contains)) {
            return counted("evacuated", "All backend servers for this request are in zones that are being evacuated.");
        }
        if (homeRegions.restricted() && atHome.isEmpty()) {
            return counted("home-regions", "No backend server in the home regions of this request accepts requests.");
        }
        if (!usable.isEmpty() && usable.stream().noneMatch(this::allows)) {
            return counted("version", "No backend server of the version that must run this request accepts requests.");
        }
        return counted("no-server", detail);
    }

    private String counted(String reason, String detail) {
        context.metrics().counter("refused." + reason).inc();
        return detail;
    }

    private static ServerConnectionPool pool(Map<String, ServerConnectionPool> byId, String id) {
        return Optional.ofNullable(byId.get(id)).orElseThrow();
    }

    /** Returns who learns from the attempt at the server that was selected last. */
    StreamObserver observer() {
        return observer;
    }

    /** Selects a server that takes a request now and has not been selected before. */
    Optional<ServerConnectionPool> next() {
        List<ServerConnectionPool> untried = untried();
        List<ServerConnectionPool> usable =
                untried.stream().filter(l -> l.delayMs() == 0).toList();
        if (usable.size() < untried.size() && untried.stream().anyMatch(ServerConnectionPool::isHeldAsCold)) {
            context.metrics().counter("requests.heldByColdServers").inc();
        }
        List<Candidate> candidates = usable.stream()
                .map(l -> new Candidate(
                        l.server().id(),
                        l.server().slots(),
                        l.outstanding(),
                        l.queuedPromptTokens(),
                        l.eventGap().meanMs()))
                .toList();
        Map<String, ServerConnectionPool> byId =
                usable.stream().collect(Collectors.toMap(l -> l.server().id(), Function.identity(), (a, b) -> a));
        Optional<EnginePolicies.Selection> selected = spec.flatMap(ServiceSpec::engine)
                .map(e -> context.engines()
                        .select(
                                service,
                                e,
                                head,
                                candidates,
                                id -> pool(byId, id).server()))
                .orElseGet(() -> ServicePlacement.choose(candidates, ThreadLocalRandom.current())
                        .map(c -> new EnginePolicies.Selection(c, StreamObserver.NONE)));
        observer = selected.map(EnginePolicies.Selection::observer).orElse(StreamObserver.NONE);
        Optional<ServerConnectionPool> pool =
                selected.map(s -> pool(byId, s.engine().id()));
        pool.ifPresent(l -> tried.add(l.server().id()));
        return pool;
    }
}
