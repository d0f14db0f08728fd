package io.hornbeamfield.router.traffic;

import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.routing.BackendView;
import io.hornbeamfield.router.BackendLoad;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.UnaryOperator;

/** Backend servers by pool and id, with the requests outstanding at each. */
final class FakeLoad implements BackendLoad {
    final Map<String, Map<String, String>> addresses = new ConcurrentHashMap<>();
    final List<String> failedConnects = new CopyOnWriteArrayList<>();
    volatile UnaryOperator<String> incarnations = id -> id;
    private final Map<String, Integer> outstanding = new ConcurrentHashMap<>();

    void add(String pool, String id, String address) {
        addresses.computeIfAbsent(pool, p -> new ConcurrentSkipListMap<>()).put(id, address);
    }

    @Override
    public List<BackendView> candidates(String pool) {
        return addresses.getOrDefault(pool, Map.of()).entrySet().stream()
                .map(e -> new BackendView(
                        e.getKey(),
                        e.getValue(),
                        "a",
                        ServerState.LIVE,
                        failedConnects.contains(e.getKey()),
                        0,
                        0,
                        0,
                        0,
                        outstanding.getOrDefault(e.getKey(), 0),
                        Set.of("m")))
                .toList();
    }

    @Override
    public String incarnation(String serverId) {
        return incarnations.apply(serverId);
    }

    @Override
    public void sent(String serverId) {
        outstanding.merge(serverId, 1, Integer::sum);
    }

    @Override
    public void finished(String serverId) {
        outstanding.merge(serverId, -1, Integer::sum);
    }

    @Override
    public void connectFailed(String serverId) {
        failedConnects.add(serverId);
    }

    int outstanding() {
        return outstanding.values().stream().mapToInt(Integer::intValue).sum();
    }
}
