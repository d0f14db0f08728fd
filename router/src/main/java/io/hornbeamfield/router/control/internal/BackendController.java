package io.hornbeamfield.router.control.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.core.config.ConfigHead;
import io.hornbeamfield.core.config.PoolKind;
import io.hornbeamfield.core.config.Server;
import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.routing.BackendSubset;
import io.hornbeamfield.core.routing.BackendView;
import io.hornbeamfield.core.routing.PrefixIndex;
import io.hornbeamfield.net.http.CallFailure;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.router.BackendLoad;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Polls the load and the cache events of the backend servers that this router uses, which are a subset of each large
 * pool. Eligibility is evaluated against the configuration on each query, so that a retirement takes effect with the
 * adoption of its revision.
 */
final class BackendController implements BackendLoad {
    static final Duration LOAD_PERIOD = Duration.ofMillis(500);
    static final Duration EVENTS_PERIOD = Duration.ofSeconds(1);
    static final Duration SUSPENSION = Duration.ofSeconds(2);
    /** A report has about 200 bytes; this spacing limits the reads of all reports to about 20 KB/s. */
    private static final Duration LOAD_PERIOD_PER_SERVER = Duration.ofMillis(10);

    /** A server to which this router sent no request for this time is polled less often. */
    static final Duration IDLE_AFTER = Duration.ofSeconds(10);

    static final Duration IDLE_PERIOD = Duration.ofSeconds(5);

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    private final ControlContext context;
    private final HttpClient http;
    private final InstanceListController instances;
    private final PrefixIndex prefixes;
    private final Map<String, ServerEntry> entries = new ConcurrentHashMap<>();
    private volatile Subsets subsets = new Subsets(null, Set.of(), Map.of());
    private BooleanSupplier pollAllCondition = () -> false;

    /** The servers in use by pool, with the configuration head and the leaving servers they were chosen by. */
    private record Subsets(@Nullable ConfigHead head, Set<String> leaving, Map<String, Map<String, Server>> byPool) {}

    BackendController(ControlContext context, HttpClient http, InstanceListController instances, PrefixIndex prefixes) {
        this.context = context;
        this.http = http;
        this.instances = instances;
        this.prefixes = prefixes;
    }

    void start() {
        pollLoads();
        pollEvents();
    }

    @Override
    public List<BackendView> candidates(String pool) {
        return servers(pool).entrySet().stream()
                .filter(e -> isEligible(e.getKey(), e.getValue()))
                .map(e -> entry(e.getKey(), e.getValue()).view(context.now()))
                .toList();
    }

    private Map<String, Server> servers(String pool) {
        return head().map(h -> subsets(h).byPool().getOrDefault(pool, Map.of())).orElse(Map.of());
    }

    /**
     * Chooses again when the configuration head changes, so that a retirement takes effect at once; changes of the
     * instance list take effect with the next poll.
     */
    private Subsets subsets(ConfigHead head) {
        Subsets current = subsets;
        if (current.head() == head) {
            return current;
        }
        Subsets chosen = chooseSubsets(head, leaving(head));
        subsets = chosen;
        return chosen;
    }

    private Set<String> leaving(ConfigHead head) {
        return head.pools().values().stream()
                .flatMap(p -> p.servers().keySet().stream())
                .filter(instances::isListedAsLeaving)
                .collect(Collectors.toSet());
    }

    private Subsets chooseSubsets(ConfigHead head, Set<String> leaving) {
        Map<String, Map<String, Server>> chosen = new HashMap<>();
        head.pools().forEach((name, pool) -> chosen.put(name, chooseSubset(pool.servers(), leaving)));
        return new Subsets(head, leaving, chosen);
    }

    private Map<String, Server> chooseSubset(Map<String, Server> pool, Set<String> leaving) {
        if (pool.size() <= BackendSubset.MAX_SERVERS) {
            return pool;
        }
        Map<String, Server> staying = new HashMap<>(pool);
        staying.entrySet().removeIf(e -> e.getValue().state() != ServerState.LIVE || leaving.contains(e.getKey()));
        return BackendSubset.of(
                context.identity().instanceId(), context.identity().zone(), staying);
    }

    /** Polls the load of all servers while the condition holds, at the idle period for servers that are not in use. */
    void pollAllWhile(BooleanSupplier condition) {
        pollAllCondition = condition;
    }

    private Optional<ConfigHead> head() {
        return context.blackboard().config().map(c -> c.head());
    }

    /**
     * Returns whether a server is eligible for work: neither the configuration, the instance list nor the server itself
     * marks it as leaving.
     */
    boolean isEligible(String id, Server server) {
        return server.state() == ServerState.LIVE
                && !instances.isListedAsLeaving(id)
                && !entry(id, server).reportsLeaving();
    }

    /** Returns the entry of a server; a changed address starts a new entry. */
    ServerEntry entry(String id, Server server) {
        return entries.compute(
                id,
                (k, e) -> e != null && e.address().equals(server.address())
                        ? e
                        : new ServerEntry(id, server, context.now()));
    }

    @Override
    public String incarnation(String serverId) {
        ServerEntry entry = entries.get(serverId);
        return serverId + "/" + (entry == null ? 0 : entry.startedAtMs());
    }

    @Override
    public void sent(String serverId) {
        Optional.ofNullable(entries.get(serverId)).ifPresent(e -> e.sent(context.now()));
    }

    @Override
    public void finished(String serverId) {
        Optional.ofNullable(entries.get(serverId)).ifPresent(ServerEntry::finished);
    }

    @Override
    public void connectFailed(String serverId) {
        Optional.ofNullable(entries.get(serverId))
                .ifPresent(e -> e.suspendUntil(context.now().plus(SUSPENSION)));
    }

    private void pollLoads() {
        head().ifPresent(this::refreshSubsets);
        Map<String, Server> used = new HashMap<>();
        subsets.byPool().values().forEach(used::putAll);
        Map<String, Server> all = new HashMap<>(used);
        if (pollAllCondition.getAsBoolean()) {
            head().ifPresent(h -> h.pools().values().forEach(p -> all.putAll(p.servers())));
        }
        Set<String> removed = new HashSet<>(entries.keySet());
        removed.removeAll(all.keySet());
        removed.forEach(id -> {
            entries.remove(id);
            prefixes.forget(id);
        });
        all.forEach((id, server) -> {
            ServerEntry entry = entry(id, server);
            if (isDue(entry, entry.loadRequestedAt, used.containsKey(id))) {
                requestLoad(id, entry);
            }
        });
        context.loop().after(LOAD_PERIOD, this::pollLoads);
    }

    private void refreshSubsets(ConfigHead head) {
        Set<String> leaving = leaving(head);
        if (subsets.head() != head || !subsets.leaving().equals(leaving)) {
            subsets = chooseSubsets(head, leaving);
        }
    }

    private boolean isDue(ServerEntry entry, Instant requestedAt, boolean inUse) {
        Instant now = context.now();
        boolean active = inUse && (entry.loadFailing || entry.isUsedSince(now.minus(IDLE_AFTER)));
        return !now.isBefore(requestedAt.plus(period(active ? Duration.ZERO : IDLE_PERIOD)));
    }

    private Duration period(Duration shortest) {
        Duration scaled = LOAD_PERIOD_PER_SERVER.multipliedBy(entries.size());
        return scaled.compareTo(shortest) > 0 ? scaled : shortest;
    }

    private void requestLoad(String id, ServerEntry entry) {
        if (entry.loadInFlight) {
            return;
        }
        entry.loadInFlight = true;
        entry.loadRequestedAt = context.now();
        context.loop()
                .onDone(
                        get(entry, "/load"),
                        load -> {
                            entry.loadInFlight = false;
                            entry.loadFailing = false;
                            entry.updateLoad(load);
                        },
                        failure -> {
                            entry.loadInFlight = false;
                            entry.loadFailing = true;
                            context.count("backends.loadFailed");
                            if (connectFailed(failure)) {
                                connectFailed(id);
                                // A restarted server numbers its events from 1 again.
                                entry.lastEventSequence = 0;
                            }
                        });
    }

    private static boolean connectFailed(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        return cause instanceof CallFailure f && f.kind() == CallFailure.Kind.CONNECT_FAILED;
    }

    private void pollEvents() {
        head().ifPresent(h -> h.pools().entrySet().stream()
                .filter(p -> p.getValue().kind() == PoolKind.MODEL)
                .forEach(p -> servers(p.getKey()).forEach((id, server) -> {
                    ServerEntry entry = entry(id, server);
                    if (isDue(entry, entry.eventsRequestedAt, true)) {
                        requestEvents(id, entry);
                    }
                })));
        context.loop().after(EVENTS_PERIOD, this::pollEvents);
    }

    private void requestEvents(String id, ServerEntry entry) {
        if (entry.eventsInFlight) {
            return;
        }
        entry.eventsInFlight = true;
        entry.eventsRequestedAt = context.now();
        context.loop()
                .onDone(
                        get(entry, "/cache-events?after=" + entry.lastEventSequence),
                        reply -> {
                            entry.eventsInFlight = false;
                            reply.path("events").forEach(e -> apply(id, e));
                            entry.lastEventSequence = reply.path("next").asLong(entry.lastEventSequence);
                        },
                        failure -> {
                            entry.eventsInFlight = false;
                            context.count("backends.eventsFailed");
                        });
    }

    private void apply(String id, JsonNode event) {
        long seq = event.path("seq").asLong();
        String hash = event.path("prefixHash").asText();
        if (event.path("kind").asText().equals("stored")) {
            prefixes.stored(id, seq, hash);
        } else {
            prefixes.evicted(id, seq, hash);
        }
    }

    private CompletableFuture<JsonNode> get(ServerEntry entry, String path) {
        HttpCall call = HttpCall.get("http://" + entry.address() + path)
                .timeout(CALL_TIMEOUT)
                .build();
        return http.send(call).thenApply(BackendController::json);
    }

    private static JsonNode json(HttpReply reply) {
        if (!reply.isSuccess()) {
            throw new IllegalStateException("The backend server answered with HTTP status " + reply.status() + ".");
        }
        return Json.parse(reply.body());
    }
}
