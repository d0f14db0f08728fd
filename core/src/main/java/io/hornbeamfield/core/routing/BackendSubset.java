package io.hornbeamfield.core.routing;

import io.hornbeamfield.core.config.Server;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Selects the subset of a pool's servers that one router uses. In a large fleet each router uses a few servers with
 * recent load reports instead of all servers with outdated ones. Rendezvous hashing of router and server spreads the
 * routers over all servers, and the loss of a server changes a single member of the subset.
 *
 * <pre>{@code
 * Map<String, Server> used = BackendSubset.of("router-3", "merrimack", pool.servers());
 * }</pre>
 */
public final class BackendSubset {
    /**
     * Largest subset of a pool. A load report has about 200 bytes, so 16 reports every 500 ms use about 6 KB/s of the
     * 20 KB/s that control traffic may use.
     */
    public static final int MAX_SERVERS = 16;

    private record Candidate(String id, long weight) {}

    private BackendSubset() {}

    /**
     * Returns the whole pool if it has at most {@link #MAX_SERVERS} servers. Otherwise up to half of the subset is in
     * the router's zone and the rest in other zones, unless these have too few servers; it spans at least two zones if
     * the pool does.
     */
    public static Map<String, Server> of(String routerInstance, String zone, Map<String, Server> pool) {
        if (pool.size() <= MAX_SERVERS) {
            return pool;
        }
        List<String> sameZone = new ArrayList<>();
        List<String> otherZones = new ArrayList<>();
        pool.keySet().stream()
                .map(id -> new Candidate(id, Rendezvous.weight(routerInstance, id)))
                .sorted(Comparator.comparingLong(Candidate::weight).reversed().thenComparing(Candidate::id))
                .forEach(c -> (zoneOf(pool, c.id()).equals(zone) ? sameZone : otherZones).add(c.id()));
        int sameZoneCount = Math.min(sameZone.size(), Math.max(MAX_SERVERS / 2, MAX_SERVERS - otherZones.size()));
        List<String> chosen = new ArrayList<>(sameZone.subList(0, sameZoneCount));
        chosen.addAll(otherZones.subList(0, MAX_SERVERS - sameZoneCount));
        otherZone(pool, chosen, otherZones).ifPresent(id -> chosen.set(MAX_SERVERS - 1, id));
        Map<String, Server> subset = new LinkedHashMap<>();
        pool.forEach((id, server) -> {
            if (chosen.contains(id)) {
                subset.put(id, server);
            }
        });
        return subset;
    }

    /** Returns a server of a second zone if all chosen ones are in the same zone. */
    private static Optional<String> otherZone(Map<String, Server> pool, List<String> chosen, List<String> otherZones) {
        String first = zoneOf(pool, chosen.get(0));
        if (chosen.stream().anyMatch(id -> !zoneOf(pool, id).equals(first))) {
            return Optional.empty();
        }
        return otherZones.stream().filter(id -> !zoneOf(pool, id).equals(first)).findFirst();
    }

    private static String zoneOf(Map<String, Server> pool, String id) {
        Server server = pool.get(id);
        return server == null ? "" : server.zone();
    }
}
