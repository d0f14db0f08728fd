package io.hornbeamfield.entry.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.discovery.BackendServer;
import io.hornbeamfield.core.prepaid.PrepaidHoldings;
import io.hornbeamfield.core.quarantine.PartActivity;
import io.hornbeamfield.core.route.CallerLimits;
import io.hornbeamfield.core.route.RetryPolicy;
import io.hornbeamfield.core.route.Route;
import io.hornbeamfield.core.route.RouteConfig;
import io.hornbeamfield.core.route.ServiceSpec;
import io.hornbeamfield.core.route.WeightedService;
import io.hornbeamfield.core.route.WorkspaceAccess;
import io.hornbeamfield.core.stream.ServiceVersion;
import io.hornbeamfield.core.time.ManualClock;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.entry.EntrySettings;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.entry.Timers;
import io.hornbeamfield.net.metrics.Metrics;
import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.Serial;
import io.hornbeamfield.platform.standin.FakeBackendServer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are sent to a zone whose evacuation became known while they waited for a connection, for
 * tokens, or for the answer of another server.
 */
final class EvacuatedDispatchTest {
    private static final long DEADLINE_MS = 60_000;
    private static final long OBJECTIVE_MS = 120_000;
    private static final long PREPAID_TOKENS = 1_000_000;

    private final ManualClock clock = ManualClock.atEpochSecond(1_000);
    private final FakeTransport transport = new FakeTransport();
    private final Blackboard blackboard = new Blackboard();
    private final PrepaidHoldings book = new PrepaidHoldings(clock, "entry-1/a", () -> 1);
    private final ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1);
    private Traffic traffic;

    @BeforeEach
    void start() {
        WorkspaceAccess plots =
                new WorkspaceAccess("plots", Set.of("key-1"), Optional.empty(), Optional.of(PREPAID_TOKENS));
        blackboard.config(new RouteConfig(
                1,
                List.of(
                        route("read", RetryPolicy.IDEMPOTENT),
                        route("write", RetryPolicy.NON_IDEMPOTENT),
                        route("chat", RetryPolicy.RESUMABLE_STREAM)),
                List.of(new ServiceSpec("plain", "/healthz", 100, Optional.empty())),
                new CallerLimits(16_384, 1_000_000, 3_000, 15_000),
                Optional.of(List.of(plots))));
        book.updateTotals(List.of(plots));
        blackboard.servers(Map.of("plain", List.of(server("i-1", "north"), server("i-2", "south"))));
        blackboard.markCrashesKnown();
        blackboard.streamVersions(Set.of(new ServiceVersion("plain", "")));
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
                5);
        traffic = Traffic.start(
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
                Metrics.create(),
                EventLog.none());
    }

    @AfterEach
    void stop() {
        executor.shutdownNow();
    }

    private static Route route(String name, RetryPolicy policy) {
        List<WeightedService> services = List.of(new WeightedService("plain", 1));
        return new Route(
                name, "api.example", "/" + name + "/", policy, services, 2, DEADLINE_MS, OBJECTIVE_MS, 0, 1, false);
    }

    private static String address(String zone) {
        return zone.equals("north") ? "127.0.0.1:8" : "127.0.0.1:9";
    }

    private static BackendServer server(String id, String zone) {
        return new BackendServer(id, "plain", address(zone), zone, 6, false, 1);
    }

    private FakeTransport.CallerRequest request(String path, String tokens) {
        return transport.request(
                path,
                Map.of(
                        "Host", "api.example",
                        "Authorization", "Bearer key-1",
                        "X-Attempt-Id", "a1",
                        "X-Deadline-Ms", Long.toString(DEADLINE_MS),
                        "X-Token-Counts", tokens));
    }

    /** The first connection may be to either zone. */
    private String evacuateZoneOfNextConnection() {
        String zone = transport.nextAddress().equals(address("south")) ? "south" : "north";
        blackboard.evacuatedZones(Map.of(zone, clock.millis()));
        return zone;
    }

    private void evacuate(String zone) {
        blackboard.evacuatedZones(Map.of(zone, clock.millis()));
    }

    @Test
    void aRequestThatWaitsForAConnectionIsSentToAnotherZone() {
        FakeTransport.CallerRequest request = request("/write/x", "0,0");
        String evacuated = evacuateZoneOfNextConnection();
        FakeTransport.ServerConnection first = transport.open();
        assertThat(transport.sent()).isZero();
        assertThat(first.isOpen()).isFalse();
        assertThat(transport.nextAddress()).isNotEqualTo(address(evacuated));
        transport.open();
        assertThat(transport.sent()).isOne();
        assertThat(request.status()).isZero();
    }

    @Test
    void aRequestThatWaitsForAConnectionIsRefusedIfAllZonesAreEvacuated() {
        FakeTransport.CallerRequest request = request("/write/x", "0,0");
        blackboard.evacuatedZones(Map.of("north", clock.millis(), "south", clock.millis()));
        transport.open();
        assertThat(transport.sent()).isZero();
        assertThat(request.status()).isEqualTo(503);
        assertThat(traffic.openRequests()).isZero();
    }

    @Test
    void aRequestThatWaitsForTokensIsSentToAnotherZone() {
        for (int i = 0; i < 10; i++) {
            request("/chat/x", "100,100");
        }
        assertThat(traffic.stats()).containsEntry("waitingForTokens", 10);
        evacuate("north");
        book.receiveTransfer("plots", 100_000);
        traffic.holdingsChanged();
        assertThat(transport.addresses()).hasSize(10).containsOnly(address("south"));
    }

    @Test
    void aFailedRequestIsNotSentToAnEvacuatedZone() {
        FakeTransport.CallerRequest request = request("/read/x", "0,0");
        String other = transport.nextAddress().equals(address("north")) ? "south" : "north";
        FakeTransport.ServerConnection first = transport.open();
        evacuate(other);
        first.listener().onBroken("reset by the test");
        assertThat(transport.connecting()).isZero();
        assertThat(request.status()).isEqualTo(502);
    }

    @Test
    void aStreamIsNotResumedInAnEvacuatedZone() {
        FakeTransport.CallerRequest request = request("/chat/x", "0,0");
        String other = transport.nextAddress().equals(address("north")) ? "south" : "north";
        FakeTransport.ServerConnection first = transport.open();
        first.listener()
                .onHead(
                        200,
                        List.of(
                                new Header("X-Attempt-Id", "a1"),
                                new Header("X-Runner-Signature", "s"),
                                new Header("Content-Type", "text/event-stream")));
        first.listener().onData(FakeBackendServer.event(1));
        assertThat(request.status()).isEqualTo(200);
        evacuate(other);
        first.listener().onBroken("reset by the test");
        assertThat(transport.connecting()).isZero();
        assertThat(traffic.openRequests()).isZero();
    }

    @Test
    void anIdleConnectionToAnEvacuatedZoneIsNotUsed() {
        request("/write/x", "0,0");
        FakeTransport.ServerConnection first = transport.open();
        String zone = transport.addresses().get(0).equals(address("north")) ? "north" : "south";
        first.listener().onHead(200, List.of(new Header("X-Attempt-Id", "a1"), new Header("X-Runner-Signature", "s")));
        first.listener().onEnd(true);
        evacuate(zone);
        request("/write/x", "0,0");
        assertThat(transport.sent()).isOne();
        assertThat(transport.nextAddress()).isNotEqualTo(address(zone));
    }
}
