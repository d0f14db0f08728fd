package io.hornbeamfield.router;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import io.hornbeamfield.client.HornbeamfieldClient;
import io.hornbeamfield.core.budget.BudgetRecord;
import io.hornbeamfield.core.config.ConfigHead;
import io.hornbeamfield.core.config.Pool;
import io.hornbeamfield.core.config.PoolKind;
import io.hornbeamfield.core.config.Preset;
import io.hornbeamfield.core.config.Priority;
import io.hornbeamfield.core.config.Server;
import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.config.StaleConfigPolicy;
import io.hornbeamfield.core.config.Workspace;
import io.hornbeamfield.core.config.WorkspaceShard;
import io.hornbeamfield.core.ledger.LedgerBatch;
import io.hornbeamfield.core.ledger.LedgerRecord;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.platform.HttpPlatformClient;
import io.hornbeamfield.net.platform.WriteResult;
import io.hornbeamfield.router.control.RouterSettings;
import io.hornbeamfield.standins.FreePorts;
import io.hornbeamfield.standins.engine.EngineStandIn;
import io.hornbeamfield.standins.platform.PlatformStandIn;
import io.hornbeamfield.standins.service.ServiceStandIn;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A platform, an engine, a service and routers in one process, with the workspace "plots" (key "secret-key"). */
final class Fleet implements AutoCloseable {
    static final String PLATFORM_TOKEN = "platform-token";

    final PlatformStandIn platform =
            PlatformStandIn.builder().token(PLATFORM_TOKEN).start();
    final EngineStandIn engine;
    final ServiceStandIn service = ServiceStandIn.builder().start();
    final HttpClient http = HttpClient.create("test");
    final HttpPlatformClient objects = new HttpPlatformClient(http, "127.0.0.1:" + platform.port(), PLATFORM_TOKEN);
    final List<RouterProcess> routers = new ArrayList<>();
    final List<String> addresses = new ArrayList<>();
    final List<String> adminAddresses = new ArrayList<>();
    private final List<String> peers = new ArrayList<>();

    Fleet(int routerCount, long granted, double tokenMs) {
        engine = EngineStandIn.builder().tokenMs(tokenMs).start();
        configure(granted);
        for (int i = 0; i < routerCount; i++) {
            addresses.add(FreePorts.freeAddress());
            peers.add(FreePorts.freeAddress());
            adminAddresses.add(FreePorts.freeAddress());
        }
        for (int i = 0; i < routerCount; i++) {
            routers.add(RouterProcess.start(settings(i)));
        }
        Await.until(() -> routers.stream().allMatch(this::isReady));
    }

    private boolean isReady(RouterProcess router) {
        return router.blackboard().config().isPresent()
                && router.blackboard().routers().size() == routers.size();
    }

    private RouterSettings settings(int i) {
        List<String> others = new ArrayList<>(peers);
        others.remove(i);
        return new RouterSettings(
                "router-" + i,
                "zone-" + i,
                addresses.get(i),
                adminAddresses.get(i),
                peers.get(i),
                others,
                "127.0.0.1:" + platform.port(),
                PLATFORM_TOKEN,
                "operator-token",
                "a-shared-secret-of-routers",
                600,
                20,
                10_000);
    }

    private void configure(long granted) {
        Preset preset =
                new Preset(60, 0.5, 60, 2_000, 64, 64, 0.5, 0, 400, 2_000, 16, Priority.LOW, StaleConfigPolicy.SERVE);
        String hash = Hashing.sha256()
                .hashString("secret-key", StandardCharsets.UTF_8)
                .toString();
        Workspace plots = new Workspace("plots", List.of(hash), Priority.NORMAL, Optional.empty());
        String shard = WorkspaceShard.shardOf("plots");
        create("config/workspaces/" + shard + "/1", Json.tree(new WorkspaceShard(Map.of("plots", plots))));
        Map<String, Pool> pools = Map.of(
                "models",
                        new Pool(
                                PoolKind.MODEL,
                                List.of("m"),
                                0,
                                List.of(),
                                true,
                                Map.of("e1", new Server(engine.address(), "zone-0", ServerState.LIVE))),
                "fees",
                        new Pool(
                                PoolKind.SERVICE,
                                List.of(),
                                7,
                                List.of("POST /orders"),
                                true,
                                Map.of("s1", new Server(service.address(), "zone-0", ServerState.LIVE))));
        Map<String, Preset> presets = Map.of("ordinary", preset, "peak", preset, "maintenance", preset);
        create("config/head", Json.tree(new ConfigHead(1, "ordinary", presets, pools, Map.of(shard, 1L), 60)));
        create("budgets/plots", Json.tree(new BudgetRecord("plots", granted, Map.of(), 0, Map.of())));
    }

    private void create(String key, JsonNode value) {
        WriteResult result = objects.write(key, 0, value).join();
        if (!(result instanceof WriteResult.Applied)) {
            throw new IllegalStateException(key + " was not written: " + result);
        }
    }

    HornbeamfieldClient client() {
        return HornbeamfieldClient.builder()
                .seedAddresses(addresses.toArray(new String[0]))
                .workspaceKey("secret-key")
                .zone("zone-0")
                .resumeAfterSilence(Duration.ofSeconds(2))
                .build();
    }

    BudgetRecord budget() {
        return Json.read(objects.read("budgets/plots").join().orElseThrow().value(), BudgetRecord.class);
    }

    /** Returns all bills of all ledgers. */
    List<LedgerRecord.Bill> bills() {
        return objects.list("ledger/", "", 1_000).join().objects().stream()
                .flatMap(o -> Json.read(o.value(), LedgerBatch.class).records().stream())
                .filter(LedgerRecord.Bill.class::isInstance)
                .map(LedgerRecord.Bill.class::cast)
                .toList();
    }

    /** Returns the tokens that the engine read and produced. */
    long engineTokens() {
        return engine.records().stream()
                .mapToLong(r -> r.promptTokens() + r.completionTokens())
                .sum();
    }

    @Override
    public void close() {
        routers.forEach(RouterProcess::close);
        engine.close();
        service.close();
        platform.close();
        http.close();
    }
}
