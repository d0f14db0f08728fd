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
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against requests that wait in a held-up daemon and are passed on after their deadline, or after the end of
 * their caller's connection has arrived. The daemon's clock advances, but its timers do not run.
 */
final class LateDispatchTest {
    private static final long DEADLINE_MS = 60_000;
    private static final long OBJECTIVE_MS = 120_000;
    private static final long PAUSE_MS = 100;
    private static final long PREPAID_TOKENS = 1_000_000;

    private final ManualClock clock = ManualClock.atEpochSecond(1_000);
    private final FakeTransport transport = new FakeTransport();
    private final Blackboard blackboard = new Blackboard();
    private final PrepaidHoldings book = new PrepaidHoldings(clock, "entry-1/a", () -> 1);
    private final ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1);
    private Traffic traffic;

    /** What makes a request that waits pointless. */
    enum End {
        DEADLINE,
        CALLER
    }

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
        blackboard.servers(Map.of("plain", List.of(server("i-1"), server("i-2"))));
        blackboard.streamVersions(Set.of(new ServiceVersion("plain", "")));
        blackboard.markCrashesKnown();
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

    private static BackendServer server(String id) {
        return new BackendServer(id, "plain", "127.0.0.1:9", "north", 6, false, 1);
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

    private void reach(End end, FakeTransport.CallerRequest request) {
        if (end == End.DEADLINE) {
            clock.advance(Duration.ofMillis(DEADLINE_MS + 1));
        } else {
            request.endArrives();
        }
    }

    private void assertEnded(End end, FakeTransport.CallerRequest request, int status) {
        assertThat(request.status()).isEqualTo(end == End.DEADLINE ? status : 0);
        assertThat(traffic.openRequests()).isZero();
    }

    @ParameterizedTest
    @EnumSource(End.class)
    void aRequestIsNotSentOnAConnectionThatOpensTooLate(End end) {
        FakeTransport.CallerRequest request = request("/write/x", "0,0");
        assertThat(transport.connecting()).isOne();
        reach(end, request);
        transport.open();
        assertThat(transport.sent()).isZero();
        assertEnded(end, request, 503);
    }

    @ParameterizedTest
    @EnumSource(End.class)
    void aRequestThatWaitedForTokensIsNotSentWhenTheyComeTooLate(End end) {
        FakeTransport.CallerRequest request = request("/chat/x", "100,100");
        assertThat(traffic.stats()).containsEntry("waitingForTokens", 1);
        reach(end, request);
        book.receiveTransfer("plots", 1_000);
        traffic.holdingsChanged();
        assertThat(transport.connecting()).isZero();
        assertEnded(end, request, 503);
    }

    /** The wait itself is a timer, which runs in real time. */
    @ParameterizedTest
    @EnumSource(End.class)
    void aRequestThatWaitedForAPauseOfItsServersIsNotSentTooLate(End end) {
        blackboard.servers(Map.of("plain", List.of(server("i-1"))));
        request("/write/x", "0,0");
        FakeTransport.ServerConnection paused = transport.open();
        paused.listener()
                .onHead(
                        503,
                        List.of(
                                new Header("X-Attempt-Id", "a1"),
                                new Header("X-Not-Executed", "1"),
                                new Header("Retry-After", "0.1")));
        paused.listener().onEnd(false);
        FakeTransport.CallerRequest request = request("/write/x", "0,0");
        assertThat(transport.connecting()).isZero();
        reach(end, request);
        clock.advance(Duration.ofMillis(PAUSE_MS));
        // The answer follows the end of the request.
        await(() -> traffic.openRequests() == 0 && (end == End.CALLER || request.status() > 0));
        assertThat(transport.connecting()).isZero();
        assertEnded(end, request, 503);
    }

    private static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        while (!condition.getAsBoolean() && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }

    @ParameterizedTest
    @EnumSource(End.class)
    void aRequestIsNotSentToAnotherServerTooLate(End end) {
        FakeTransport.CallerRequest request = request("/read/x", "0,0");
        FakeTransport.ServerConnection first = transport.open();
        reach(end, request);
        first.listener().onBroken("reset by the test");
        assertThat(transport.connecting()).isZero();
        assertEnded(end, request, 502);
    }

    @ParameterizedTest
    @EnumSource(End.class)
    void aStreamIsNotResumedTooLate(End end) {
        FakeTransport.CallerRequest request = request("/chat/x", "0,0");
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
        reach(end, request);
        first.listener().onBroken("reset by the test");
        assertThat(transport.connecting()).isZero();
        assertThat(traffic.openRequests()).isZero();
    }

    @Test
    void aRequestWhoseCallerWaitsIsSentWhenItsConnectionOpens() {
        request("/write/x", "0,0");
        transport.open();
        assertThat(transport.sent()).isOne();
    }
}
