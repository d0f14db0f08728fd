package io.hornbeamfield.core.routing;

import static io.hornbeamfield.core.routing.BackendSubset.MAX_SERVERS;
import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.config.Server;
import io.hornbeamfield.core.config.ServerState;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Guards against servers that no router uses, and against routers that depend on a single zone. */
class BackendSubsetTest {
    private static final int ZONES = 12;

    private static Map<String, Server> pool(int servers, int zones) {
        Map<String, Server> pool = new TreeMap<>();
        for (int i = 0; i < servers; i++) {
            pool.put("runner-" + i, new Server("10.0.0.1:" + (1_000 + i), "z" + i % zones, ServerState.LIVE));
        }
        return pool;
    }

    private static Set<String> zones(Map<String, Server> servers) {
        return servers.values().stream().map(Server::zone).collect(Collectors.toSet());
    }

    @Test
    void smallPoolsAreUsedCompletely() {
        assertThat(BackendSubset.of("router-1", "z0", pool(MAX_SERVERS, 3))).hasSize(MAX_SERVERS);
        assertThat(BackendSubset.of("router-1", "z0", Map.of())).isEmpty();
    }

    @Test
    void everyServerOfALargePoolIsUsedByABoundedNumberOfRouters() {
        Map<String, Server> pool = pool(200, ZONES);
        Map<String, Integer> routers = new HashMap<>();
        for (int i = 0; i < 420; i++) {
            Map<String, Server> subset = BackendSubset.of("router-" + i, "z" + i % ZONES, pool);
            assertThat(subset).hasSize(MAX_SERVERS);
            subset.keySet().forEach(id -> routers.merge(id, 1, Integer::sum));
        }
        int average = 420 * MAX_SERVERS / 200;
        assertThat(routers).hasSize(200);
        assertThat(routers.values()).allSatisfy(n -> assertThat(n).isBetween(average / 2, average * 2));
    }

    @Test
    void halfOfTheServersAreInTheZoneOfTheRouter() {
        Map<String, Server> subset = BackendSubset.of("router-1", "z3", pool(200, ZONES));
        assertThat(subset.values().stream().filter(s -> s.zone().equals("z3"))).hasSize(MAX_SERVERS / 2);
    }

    @Test
    void theSubsetSpansTwoZonesHoweverTheServersAreSpread() {
        Map<String, Server> pool = pool(100, 1);
        pool.put("other", new Server("10.0.0.2:1", "z1", ServerState.LIVE));
        for (String zone : Set.of("z0", "z1", "z2")) {
            assertThat(zones(BackendSubset.of("router-1", zone, pool))).containsExactlyInAnyOrder("z0", "z1");
        }
    }

    @Test
    void theLossOfAServerChangesOneMember() {
        Map<String, Server> pool = pool(60, 3);
        Map<String, Server> before = BackendSubset.of("router-1", "z0", pool);
        for (String lost : pool.keySet()) {
            Map<String, Server> rest = new TreeMap<>(pool);
            rest.remove(lost);
            Set<String> left = new HashSet<>(before.keySet());
            left.removeAll(BackendSubset.of("router-1", "z0", rest).keySet());
            assertThat(left).isEqualTo(before.containsKey(lost) ? Set.of(lost) : Set.of());
        }
    }
}
