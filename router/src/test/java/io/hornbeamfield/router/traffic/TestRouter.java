package io.hornbeamfield.router.traffic;

import com.google.common.hash.Hashing;
import io.hornbeamfield.core.config.ConfigHead;
import io.hornbeamfield.core.config.ConfigSnapshot;
import io.hornbeamfield.core.config.Pool;
import io.hornbeamfield.core.config.PoolKind;
import io.hornbeamfield.core.config.Preset;
import io.hornbeamfield.core.config.Priority;
import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.config.StaleConfigPolicy;
import io.hornbeamfield.core.config.Workspace;
import io.hornbeamfield.core.config.WorkspaceShard;
import io.hornbeamfield.core.identity.RegistryLimits;
import io.hornbeamfield.core.routing.PrefixIndex;
import io.hornbeamfield.core.routing.RouterInfo;
import io.hornbeamfield.core.time.MonotonicClock;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.metrics.Metrics;
import io.hornbeamfield.router.Blackboard;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Traffic over fakes, with the workspaces "plots" (key "secret-key") and "other" (key "other-key"). */
final class TestRouter implements AutoCloseable {
    static final Preset PRESET =
            new Preset(60, 0.5, 60, 200, 32, 32, 0.5, 0, 300, 500, 1, Priority.LOW, StaleConfigPolicy.SERVE);

    final String incarnation;
    final Blackboard board = new Blackboard();
    final FakeBudgets budgets = new FakeBudgets(100_000);
    final FakeBilling billing = new FakeBilling();
    final FakeLoad load = new FakeLoad();
    final LocalCrashes crashes = new LocalCrashes(board);
    final HttpClient client = HttpClient.create("test");
    final Clock clock;
    final Traffic traffic;

    TestRouter(String incarnation) {
        this(incarnation, PRESET);
    }

    /** Creates a router whose first preset sets its queue limits, which later ones change with a delay. */
    TestRouter(String incarnation, Preset first) {
        this(incarnation, first, MonotonicClock.start());
    }

    TestRouter(String incarnation, Preset first, Clock clock) {
        this.incarnation = incarnation;
        this.clock = clock;
        publish(first);
        traffic = Traffic.start(new TrafficDependencies(
                incarnation,
                "127.0.0.1:0",
                "shared",
                clock,
                client,
                Metrics.create(),
                board,
                budgets,
                billing,
                load,
                crashes,
                new PrefixIndex(100),
                RegistryLimits.of(1_000, 1 << 20)));
        board.publishRouters(List.of(info()));
    }

    static Preset presetWithSilence(long streamSilenceMs) {
        return new Preset(
                60, 0.5, 60, 200, 32, 32, 0.5, 0, streamSilenceMs, 500, 1, Priority.LOW, StaleConfigPolicy.SERVE);
    }

    void publish(Preset preset) {
        Workspace plots = new Workspace("plots", List.of(hash("secret-key")), Priority.NORMAL, Optional.empty());
        Workspace other = new Workspace("other", List.of(hash("other-key")), Priority.NORMAL, Optional.empty());
        ConfigHead head = new ConfigHead(
                1,
                "ordinary",
                Map.of("ordinary", preset),
                Map.of(
                        "models", new Pool(PoolKind.MODEL, List.of("m"), 0, List.of(), true, Map.of()),
                        "fees", new Pool(PoolKind.SERVICE, List.of(), 7, List.of("POST /orders"), true, Map.of())),
                Map.of(),
                60);
        board.publishConfig(
                new ConfigSnapshot(head, Map.of("00", new WorkspaceShard(Map.of("plots", plots, "other", other)))));
    }

    private static String hash(String key) {
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    }

    RouterInfo info() {
        return new RouterInfo(
                incarnation.substring(0, incarnation.length() - 9),
                incarnation,
                "a",
                "127.0.0.1:" + traffic.port(),
                ServerState.LIVE);
    }

    String key(String nonce) {
        return incarnation + "." + clock.instant().getEpochSecond() + "." + nonce;
    }

    HttpCall.Builder post(String path) {
        return HttpCall.post("http://127.0.0.1:" + traffic.port() + path)
                .bearer("secret-key")
                .timeout(Duration.ofSeconds(20));
    }

    HttpCall.Builder chat(boolean stream) {
        return post("/v1/chat/completions").json(chatBody(stream));
    }

    static byte[] chatBody(boolean stream) {
        return Json.bytes(Map.of(
                "model",
                "m",
                "messages",
                List.of(Map.of("role", "user", "content", "when to sow")),
                "max_tokens",
                50,
                "stream",
                stream));
    }

    HttpReply send(HttpCall.Builder call) {
        return client.send(call.build()).join();
    }

    CompletableFuture<HttpReply> sendAsync(HttpCall.Builder call) {
        return client.send(call.build());
    }

    @Override
    public void close() {
        traffic.close();
        client.close();
    }
}
