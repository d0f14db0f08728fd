package io.hornbeamfield.entry.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.discovery.BackendServer;
import io.hornbeamfield.core.prepaid.PrepaidHoldings;
import io.hornbeamfield.core.quarantine.PartActivity;
import io.hornbeamfield.core.route.CallerLimits;
import io.hornbeamfield.core.route.EngineSpec;
import io.hornbeamfield.core.route.RetryPolicy;
import io.hornbeamfield.core.route.Route;
import io.hornbeamfield.core.route.RouteConfig;
import io.hornbeamfield.core.route.ServiceSpec;
import io.hornbeamfield.core.route.WeightedService;
import io.hornbeamfield.core.route.WorkspaceAccess;
import io.hornbeamfield.core.stream.ServiceVersion;
import io.hornbeamfield.core.time.ManualClock;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.entry.DeploymentSettings;
import io.hornbeamfield.entry.EntrySettings;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.entry.Timers;
import io.hornbeamfield.net.metrics.Metrics;
import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.Serial;
import io.hornbeamfield.platform.DeploymentTerms;
import io.hornbeamfield.platform.standin.FakeBackendServer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that no engine can hold, and against streams whose timing is not observed. */
final class EngineRequestsTest {
    private final ManualClock clock = ManualClock.atEpochSecond(1_000);
    private final FakeTransport transport = new FakeTransport();
    private final Blackboard blackboard = new Blackboard();
    private final Metrics metrics = Metrics.create();
    private final PrepaidHoldings book = new PrepaidHoldings(clock, "entry-1/a", () -> 1);
    private final ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1);

    @BeforeEach
    void allowStreams() {
        blackboard.streamVersions(Set.of(new ServiceVersion("model", "")));
    }

    @BeforeEach
    void start() {
        WorkspaceAccess plots =
                new WorkspaceAccess("plots", Set.of("key-1"), Optional.empty(), Optional.of(1_000_000L));
        ServiceSpec model = new ServiceSpec("model", "/healthz", 100, Optional.of(new EngineSpec(12, 432_341, 10)));
        Route chat = new Route(
                "chat",
                "api.example",
                "/chat/",
                RetryPolicy.RESUMABLE_STREAM,
                List.of(new WeightedService("model", 1)),
                2,
                60_000,
                1_000,
                0,
                1,
                false);
        blackboard.config(new RouteConfig(
                1,
                List.of(chat),
                List.of(model),
                new CallerLimits(16_384, 1_000_000, 3_000, 15_000),
                Optional.of(List.of(plots))));
        book.updateTotals(List.of(plots));
        blackboard.servers(
                Map.of("model", List.of(new BackendServer("e1", "model", "127.0.0.1:9", "north", 12, false, 1))));
        blackboard.markCrashesKnown();
        DeploymentSettings contention = new DeploymentSettings(
                "", Map.of(), new DeploymentTerms(true), Optional.empty(), OptionalLong.empty(), 0, 0, 0, 0);
        EntrySettings settings = new EntrySettings(
                "entry-1",
                "north",
                "127.0.0.1:1",
                "127.0.0.1:2",
                "127.0.0.1:3",
                "127.0.0.1:4",
                "secret",
                0,
                "127.0.0.1:5",
                3_000,
                2_000,
                5_000,
                0.2,
                50,
                10_000,
                5,
                contention);
        Traffic.start(
                () -> settings,
                clock,
                new Timers(executor, new Serial()),
                transport,
                blackboard,
                book,
                workspace -> {},
                new PartActivity(clock),
                (service, server, request, parts) -> {},
                new NoStreamOrigins(),
                metrics,
                EventLog.none());
    }

    @AfterEach
    void stop() {
        executor.shutdownNow();
    }

    private FakeTransport.CallerRequest request(String tokens) {
        return transport.request(
                "/chat/x",
                Map.of(
                        "Host", "api.example",
                        "Authorization", "Bearer key-1",
                        "X-Attempt-Id", "a1",
                        "X-Deadline-Ms", "60000",
                        "X-Token-Counts", tokens));
    }

    @Test
    void aRequestThatNoEngineCanHoldIsRefusedAtOnce() {
        assertThat(request("432000,380").status()).isEqualTo(413);
        assertThat(transport.connecting()).isZero();
    }

    @Test
    void theTimeToTheFirstEventIsComparedWithTheEstimate() {
        request("0,0");
        FakeTransport.ServerConnection c = transport.open();
        clock.advance(Duration.ofMillis(70));
        c.listener()
                .onHead(
                        200,
                        List.of(
                                new Header("X-Attempt-Id", "a1"),
                                new Header("X-Runner-Signature", "s"),
                                new Header("Content-Type", "text/event-stream")));
        c.listener().onData(FakeBackendServer.event(1));
        assertThat(metrics.histogram("engines.estimate-error-ms").getSnapshot().getMax())
                .isEqualTo(70);
    }
}
