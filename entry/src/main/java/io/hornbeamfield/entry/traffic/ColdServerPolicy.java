package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.discovery.BackendServer;
import io.hornbeamfield.core.placement.ColdServerLimit;
import io.hornbeamfield.core.placement.ColdServers;
import io.hornbeamfield.core.route.ColdPhase;
import io.hornbeamfield.core.route.RouteConfig;
import io.hornbeamfield.core.route.ServiceSpec;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.entry.EntrySettings;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.net.metrics.Metrics;
import java.time.Clock;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Limits the requests of this instance to cold servers. Has no effect unless the deployment's settings bound the
 * requests to cold servers and the configuration declares that the servers of a service are cold after their start.
 */
final class ColdServerPolicy implements ColdServers.Listener {
    /** Instances that start together read lists of very different lengths at first. */
    private static final long MEMBERS_SETTLE_MS = 2_000;

    private final Clock clock;
    private final Blackboard blackboard;
    private final EventLog log;
    private final ColdServers servers;
    private final Optional<ColdServerLimit> limit;
    private List<Blackboard.Member> members = List.of();
    private List<String> names = List.of();
    private OptionalLong membersKnownSinceMs = OptionalLong.empty();

    /** Read by the metrics page in another thread. */
    private volatile long coldCount;

    ColdServerPolicy(Clock clock, EntrySettings settings, Blackboard blackboard, Metrics metrics, EventLog log) {
        this.clock = clock;
        this.blackboard = blackboard;
        this.log = log;
        this.servers = new ColdServers(clock, settings.instance(), this);
        this.limit =
                settings.deployment().coldRate().map(rate -> new ColdServerLimit(clock, settings.instance(), rate));
        if (limit.isPresent()) {
            metrics.gauge("servers.cold", () -> coldCount);
        }
    }

    private Optional<ColdPhase> phase(BackendServer server) {
        return limit.isEmpty()
                ? Optional.empty()
                : blackboard.config().flatMap(c -> c.service(server.service())).flatMap(ServiceSpec::coldPhase);
    }

    /** Returns whether a server tolerates few requests after its start. */
    boolean applies(BackendServer server) {
        return phase(server).isPresent();
    }

    /** Records the present registration of a server. */
    void seen(BackendServer server) {
        phase(server).ifPresent(p -> servers.seen(server, p));
    }

    /** Records that a server could not be reached or may have restarted. */
    void unreachable(BackendServer server) {
        phase(server).ifPresent(p -> servers.unreachable(server, p));
    }

    /** Records that a server can be reached again, and the cold time in its answer to a health check. */
    void reachable(BackendServer server, OptionalLong coldMs) {
        phase(server).ifPresent(p -> servers.reachable(server, p, coldMs));
    }

    /** Records the cold time in an answer of a server, or of an earlier incarnation of it. */
    void reported(BackendServer server, long coldMs) {
        phase(server).ifPresent(p -> servers.reported(server, p, coldMs));
    }

    /** Returns the time until this instance may send a request to a server that may be cold, 0 if it may send now. */
    long delayMs(BackendServer server) {
        Optional<ColdPhase> phase = phase(server);
        long remainingMs = phase.isPresent() ? servers.remainingMs(server) : 0;
        return remainingMs == 0
                ? 0
                : Math.min(remainingMs, limit.orElseThrow().delayMs(server.id(), phase.get(), instances()));
    }

    /** Records that a request is being sent and returns its place if the server is cold, else 0. */
    long requestStarted(BackendServer server) {
        if (!applies(server)) {
            return 0;
        }
        long placeMs = limit.orElseThrow().reserve(server.id());
        return servers.remainingMs(server) > 0 ? placeMs : 0;
    }

    /** Returns whether a started request may be written now. */
    boolean maySend(BackendServer server, long placeMs) {
        Optional<ColdPhase> phase = phase(server);
        return phase.isEmpty()
                || servers.remainingMs(server) == 0
                || limit.orElseThrow().confirm(server.id(), phase.get(), instances(), placeMs);
    }

    /** Returns the names of the known instances; the same object as long as they are the same. */
    private Optional<List<String>> instances() {
        if (!blackboard.membersKnown()) {
            return Optional.empty();
        }
        long now = clock.millis();
        if (membersKnownSinceMs.isEmpty()) {
            membersKnownSinceMs = OptionalLong.of(now);
        }
        List<Blackboard.Member> present = blackboard.members();
        if (present != members) {
            members = present;
            List<String> next =
                    present.stream().map(Blackboard.Member::name).sorted().toList();
            names = next.equals(names) ? names : next;
        }
        return now - membersKnownSinceMs.getAsLong() >= MEMBERS_SETTLE_MS ? Optional.of(names) : Optional.empty();
    }

    /** Records all registrations, including those of servers that get no requests. Called a few times per second. */
    void tick() {
        if (limit.isEmpty()) {
            return;
        }
        instances();
        Set<String> listed = new HashSet<>();
        blackboard.config().map(RouteConfig::services).stream()
                .flatMap(Collection::stream)
                .filter(s -> s.coldPhase().isPresent())
                .flatMap(s -> blackboard.servers(s.name()).stream())
                .forEach(s -> {
                    seen(s);
                    listed.add(s.id());
                });
        servers.update(listed);
        coldCount = servers.count();
    }

    @Override
    public void onCold(BackendServer server, String reason, long coldMs) {
        log.event("server-cold")
                .field("server", server.id())
                .field("reason", reason)
                .field("ms", coldMs)
                .write();
    }

    @Override
    public void onWarm(BackendServer server) {
        log.event("server-warm").field("server", server.id()).write();
    }
}
