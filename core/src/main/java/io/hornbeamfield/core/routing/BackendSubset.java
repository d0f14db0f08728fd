package io.hornbeamfield.core.routing;

import io.hornbeamfield.core.config.Server;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the servers of a pool that one router uses. Each router of a large fleet uses a few servers and knows their
 * load well, instead of all of them with old reports. The choice is a rendezvous hash of router and server, so that the
 * loss of a server changes one member and the routers spread over all servers.
 *
 * <pre>{@code
 * Map<String, Server> used = BackendSubset.of("router-3", "merrimack", pool.servers());
 * }</pre>
 */
public final class BackendSubset {
    /**
     * Servers of a pool that a router uses. A load report has about 200 bytes, so that 16 reports each 500 ms are about
     * 6 KB/s of the 20 KB/s that control may use.
     */
    public static final int MAX_SERVERS = 16;

    private record Candidate(String id, long weight) {}

    private BackendSubset() {}

    /**
     * Returns the whole pool if it is small, else up to half of the members from the router's zone and the others from
     * other zones; at least two zones if the pool has them.
     */
    public static Map<String, Server> of(String routerInstance, String zone, Map<String, Server> pool) {
        if (pool.size() <= MAX_SERVERS) {
            return pool;
        }
        List<String> near = new ArrayList<>();
        List<String> far = new ArrayList<>();
        pool.keySet().stream()
                .map(id -> new Candidate(id, Rendezvous.weight(routerInstance, id)))
                .sorted(Comparator.comparingLong(Candidate::weight).reversed().thenComparing(Candidate::id))
                .forEach(c -> (zoneOf(pool, c.id()).equals(zone) ? near : far).add(c.id()));
        int nearCount = Math.min(near.size(), Math.max(MAX_SERVERS / 2, MAX_SERVERS - far.size()));
        List<String> chosen = new ArrayList<>(near.subList(0, nearCount));
        chosen.addAll(far.subList(0, MAX_SERVERS - nearCount));
        otherZone(pool, chosen, far).ifPresent(id -> chosen.set(MAX_SERVERS - 1, id));
        Map<String, Server> subset = new LinkedHashMap<>();
        pool.forEach((id, server) -> {
            if (chosen.contains(id)) {
                subset.put(id, server);
            }
        });
        return subset;
    }

    /** Returns a server of a second zone if all chosen ones are of one zone. */
    private static Optional<String> otherZone(Map<String, Server> pool, List<String> chosen, List<String> far) {
        String first = zoneOf(pool, chosen.get(0));
        if (chosen.stream().anyMatch(id -> !zoneOf(pool, id).equals(first))) {
            return Optional.empty();
        }
        return far.stream().filter(id -> !zoneOf(pool, id).equals(first)).findFirst();
    }

    private static String zoneOf(Map<String, Server> pool, String id) {
        Server server = pool.get(id);
        return server == null ? "" : server.zone();
    }
}
