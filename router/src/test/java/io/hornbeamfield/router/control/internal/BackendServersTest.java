package io.hornbeamfield.router.control.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.config.ConfigSnapshot;
import io.hornbeamfield.core.config.Pool;
import io.hornbeamfield.core.config.PoolKind;
import io.hornbeamfield.core.config.Server;
import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.routing.BackendSubset;
import io.hornbeamfield.core.routing.BackendView;
import io.hornbeamfield.core.routing.PrefixIndex;
import io.hornbeamfield.net.platform.InstanceInfo;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests to leaving servers, stale loads and load orders beyond the rate limit of the weight store.
 */
class BackendServersTest {
    private final ManualLoop loop = new ManualLoop();
    private final FakePlatform.Store store = new FakePlatform.Store();
    private final TestRouter router = new TestRouter("a", store, loop);
    private final FakeHttp http = new FakeHttp();
    private final PrefixIndex prefixes = new PrefixIndex(100);
    private final InstanceListController instances = new InstanceListController(router.context);
    private final BackendController backends = new BackendController(router.context, http, instances, prefixes);
    private final OrdersLease lease = new OrdersLease(router.context);
    private final ModelLoadController modelLoads = new ModelLoadController(router.context, http, backends, lease);

    private void configure(ServerState second, List<String> models) {
        Map<String, Server> servers = Map.of(
                "s1", new Server("10.0.1.1:80", "a", ServerState.LIVE),
                "s2", new Server("10.0.1.2:80", "b", second));
        Pool pool = new Pool(PoolKind.MODEL, models, 0, List.of(), true, servers);
        router.context.blackboard().publishConfig(new ConfigSnapshot(TestRouter.head(2, Map.of("m", pool)), Map.of()));
    }

    private void load(String server, String models, String state) {
        http.answers.put(
                server + "/load",
                "{\"running\":3,\"waiting\":2,\"kvUsed\":0.1,\"models\":[" + models + "],\"state\":\"" + state + "\"}");
    }

    private void start() {
        load("10.0.1.1:80", "\"x\"", "live");
        load("10.0.1.2:80", "\"x\"", "live");
        instances.start();
        backends.start();
        loop.run();
    }

    private List<String> candidates() {
        return backends.candidates("m").stream().map(BackendView::id).sorted().toList();
    }

    private BackendView first() {
        return backends.candidates("m").stream()
                .filter(v -> v.id().equals("s1"))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void aServerLeavesWithTheAdoptionOfItsRetirement() {
        configure(ServerState.LIVE, List.of("x"));
        start();
        assertThat(candidates()).containsExactly("s1", "s2");
        configure(ServerState.LEAVING, List.of("x"));
        assertThat(candidates()).containsExactly("s1");
    }

    @Test
    void aServerLeavesByItsOwnReportAndByTheInstanceList() {
        configure(ServerState.LIVE, List.of("x"));
        start();
        load("10.0.1.1:80", "\"x\"", "leaving");
        loop.advance(BackendController.LOAD_PERIOD);
        assertThat(candidates()).containsExactly("s2");
        store.instances.add(new InstanceInfo("s2", "engine", "10.0.1.2:80", "b", ServerState.LEAVING));
        loop.advanceMillis(5_100);
        assertThat(candidates()).isEmpty();
    }

    private void configureLargePool() {
        Map<String, Server> servers = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            String address = "10.0.2." + i + ":80";
            servers.put("s" + i, new Server(address, i % 2 == 0 ? "a" : "b", ServerState.LIVE));
            load(address, i == 0 ? "\"x\",\"y\"" : "\"x\"", "live");
        }
        Pool pool = new Pool(PoolKind.MODEL, List.of("x", "y"), 0, List.of(), true, servers);
        router.context.blackboard().publishConfig(new ConfigSnapshot(TestRouter.head(2, Map.of("m", pool)), Map.of()));
    }

    @Test
    void onlyTheSubsetOfALargePoolIsPolledAndIdleServersLessOften() {
        configureLargePool();
        instances.start();
        backends.start();
        loop.run();
        assertThat(candidates()).hasSize(BackendSubset.MAX_SERVERS);
        assertThat(http.gets.stream().filter(g -> g.endsWith("/load"))).hasSize(BackendSubset.MAX_SERVERS);
        loop.advance(BackendController.IDLE_AFTER.plusSeconds(1));
        http.gets.clear();
        loop.advance(Duration.ofSeconds(10));
        assertThat(http.gets.stream().filter(g -> g.endsWith("/load"))).hasSize(2 * BackendSubset.MAX_SERVERS);
        backends.sent(candidates().get(0));
        http.gets.clear();
        loop.advance(Duration.ofSeconds(5));
        assertThat(http.gets.stream().filter(g -> g.endsWith("/load"))).hasSize(10 + BackendSubset.MAX_SERVERS - 1);
    }

    @Test
    void aServerThatLeavesALargePoolIsReplaced() {
        configureLargePool();
        instances.start();
        backends.start();
        loop.run();
        String leaving = candidates().get(0);
        store.instances.add(new InstanceInfo(leaving, "engine", "10.0.2.1:80", "a", ServerState.LEAVING));
        loop.advanceMillis(6_000);
        assertThat(candidates()).hasSize(BackendSubset.MAX_SERVERS).doesNotContain(leaving);
    }

    /** The lease holder must know which servers of a large pool lack a model, including those that it does not use. */
    @Test
    void theHolderOfTheOrdersLeaseKnowsTheModelsOfAllServers() {
        configureLargePool();
        candidates().forEach(id -> load("10.0.2." + id.substring(1) + ":80", "\"x\",\"y\"", "live"));
        instances.start();
        backends.start();
        modelLoads.start();
        loop.advance(Duration.ofSeconds(60));
        assertThat(http.orders).isNotEmpty();
    }

    @Test
    void theLoadIsCorrectedByOwnRequestsUntilTheNextReport() {
        configure(ServerState.LIVE, List.of("x"));
        start();
        backends.sent("s1");
        backends.sent("s1");
        backends.finished("s1");
        assertThat(first().sentSinceReport()).isEqualTo(2);
        assertThat(first().finishedSinceReport()).isEqualTo(1);
        loop.advance(BackendController.LOAD_PERIOD);
        assertThat(first().sentSinceReport()).isZero();
        assertThat(first().outstanding()).isEqualTo(1);
        assertThat(first().reportedWaiting()).isEqualTo(2);
    }

    @Test
    void aFailedConnectionSuspendsAServerForTwoSeconds() {
        configure(ServerState.LIVE, List.of("x"));
        start();
        backends.connectFailed("s1");
        loop.advanceMillis(1_900);
        assertThat(first().suspended()).isTrue();
        loop.advanceMillis(200);
        assertThat(first().suspended()).isFalse();
        http.answers.remove("10.0.1.1:80/load");
        loop.advanceMillis(10_000);
        assertThat(first().suspended()).isTrue();
    }

    @Test
    void cacheEventsReachThePrefixIndexAndRestartWithTheServer() {
        configure(ServerState.LIVE, List.of("x"));
        String events = "10.0.1.1:80/cache-events";
        http.answers.put(
                events,
                "{\"events\":[{\"seq\":1,\"kind\":\"stored\",\"prefixHash\":\"p\"},"
                        + "{\"seq\":2,\"kind\":\"stored\",\"prefixHash\":\"q\"}],\"next\":2}");
        start();
        assertThat(prefixes.size("s1")).isEqualTo(2);
        String load = http.answers.remove("10.0.1.1:80/load");
        http.answers.remove(events);
        loop.advanceMillis(1_000);
        http.answers.put("10.0.1.1:80/load", load);
        http.answers.put(events, "{\"events\":[{\"seq\":1,\"kind\":\"stored\",\"prefixHash\":\"r\"}],\"next\":1}");
        loop.advanceMillis(1_000);
        assertThat(prefixes.size("s1")).isEqualTo(1);
    }

    @Test
    void missingModelsAreOrderedWithinTheLimitOfTheWeightStore() {
        configure(ServerState.LIVE, List.of("x", "y", "z"));
        start();
        modelLoads.start();
        loop.advance(Duration.ofSeconds(9));
        assertThat(http.orders).isEmpty();
        // 6 loads a minute are one every 10 s.
        loop.advance(Duration.ofSeconds(31));
        assertThat(http.orders).hasSize(3);
        loop.advance(Duration.ofSeconds(15));
        assertThat(http.orders).hasSize(4).allMatch(o -> o.contains("\"fence\":1") && o.contains("load"));
        assertThat(http.orders).noneMatch(o -> o.contains("\"model\":\"x\""));
    }

    @Test
    void leavingServersGetNoOrdersAndAnOldFenceEndsThem() {
        configure(ServerState.LEAVING, List.of("x", "y", "z"));
        start();
        modelLoads.start();
        http.orderStatus = 409;
        loop.advance(Duration.ofSeconds(11));
        assertThat(http.orders).hasSize(1).allMatch(o -> o.startsWith("10.0.1.1"));
        assertThat(lease.mayIssueOrders()).isFalse();
    }
}
