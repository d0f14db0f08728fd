package io.hornbeamfield.entry.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.discovery.BackendServer;
import io.hornbeamfield.core.placement.ColdRateLimit;
import io.hornbeamfield.core.prepaid.PrepaidHoldings;
import io.hornbeamfield.core.quarantine.PartActivity;
import io.hornbeamfield.core.route.CallerLimits;
import io.hornbeamfield.core.route.ColdPhase;
import io.hornbeamfield.core.route.RetryPolicy;
import io.hornbeamfield.core.route.Route;
import io.hornbeamfield.core.route.RouteConfig;
import io.hornbeamfield.core.route.ServiceSpec;
import io.hornbeamfield.core.route.WeightedService;
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
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against requests and health checks to a cold server beyond this instance's share of its bound. */
final class ColdServerRequestsTest {
    private static final ColdPhase PHASE = new ColdPhase(3_000, 16);
    private static final int INSTANCES = 8;

    /** Requests of one of eight instances in a second: three quarters of the bound of 29 are divided. */
    private static final int SHARE = 2;

    private static final long HOUR_MS = 3_600_000;
    private static final long SETTLED_MS = 2_000;
    private static final long OBJECTIVE_MS = 100;
    private static final String WARM = "127.0.0.1:11";
    private static final String COLD = "127.0.0.1:12";

    private final ManualClock clock = ManualClock.atEpochSecond(1_000_000);
    private final long startMs = clock.millis();
    private final FakeTransport transport = new FakeTransport();
    private final Blackboard blackboard = new Blackboard();
    private final Metrics metrics = Metrics.create();
    private final ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1);
    private final Serial serial = new Serial();
    private final List<String> sentTo = new ArrayList<>();

    private void start(Optional<ColdRateLimit> rate) {
        List<WeightedService> services = List.of(new WeightedService("plain", 1));
        Route read = new Route(
                "read", "api.example", "/read/", RetryPolicy.IDEMPOTENT, services, 2, 10_000, OBJECTIVE_MS, 0, 1, true);
        blackboard.config(new RouteConfig(
                1,
                List.of(read),
                List.of(new ServiceSpec("plain", "/healthz", 1_000, Optional.empty(), Optional.of(PHASE))),
                new CallerLimits(16_384, 1_000_000, 3_000, 15_000),
                Optional.empty()));
        blackboard.markCrashesKnown();
        blackboard.members(IntStream.range(0, INSTANCES)
                .mapToObj(i -> new Blackboard.Member("entry-" + i, "north", "a", "b", "c", 1))
                .toList());
        DeploymentSettings deployment = new DeploymentSettings(
                "", Map.of(), DeploymentTerms.of(List.of()), rate, OptionalLong.empty(), 0, 0, 0, 0);
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
                deployment);
        Traffic.start(
                () -> settings,
                clock,
                new Timers(executor, serial),
                transport,
                blackboard,
                new PrepaidHoldings(clock, "entry-1/a", () -> 1),
                workspace -> {},
                new PartActivity(clock),
                (service, server, request, parts) -> {},
                new NoStreamOrigins(),
                metrics,
                EventLog.none());
    }

    private void startWithLimit(BackendServer... servers) {
        start(Optional.of(new ColdRateLimit(1.5, 5)));
        register(servers);
        long end = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        while (!transport.hasTicked() && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        assertThat(transport.hasTicked()).isTrue();
        advance(SETTLED_MS);
    }

    @AfterEach
    void stop() {
        executor.shutdownNow();
    }

    private void register(BackendServer... servers) {
        serial.run(() -> blackboard.servers(Map.of("plain", List.of(servers))));
    }

    private BackendServer warm() {
        return new BackendServer("i-1", "plain", WARM, "north", 6, false, startMs - HOUR_MS, OptionalLong.of(0));
    }

    /** Returns a server that has run for an hour; its registration declares the given cold time. */
    private BackendServer second(long coldLeftMs) {
        return new BackendServer(
                "i-2", "plain", COLD, "north", 6, false, startMs - HOUR_MS, OptionalLong.of(coldLeftMs));
    }

    private BackendServer restarted() {
        return new BackendServer("i-2", "plain", COLD, "north", 6, false, clock.millis(), OptionalLong.of(3_000));
    }

    private void advance(long ms) {
        clock.advance(Duration.ofMillis(ms));
    }

    private <T> T inSerial(Supplier<T> action) {
        List<T> result = new ArrayList<>();
        serial.run(() -> result.add(action.get()));
        return result.get(0);
    }

    private FakeTransport.CallerRequest request(String path) {
        return transport.request(path, Map.of("Host", "api.example", "X-Attempt-Id", "a1", "X-Deadline-Ms", "9000"));
    }

    /** Passes a request and answers it at the server that it is sent to. */
    private FakeTransport.CallerRequest exchange(String path, List<Header> extra) {
        return inSerial(() -> {
            FakeTransport.CallerRequest request = request(path);
            while (transport.connecting() > 0) {
                FakeTransport.ServerConnection c = transport.open();
                if (c.isSent()) {
                    sentTo.add(c.address());
                    List<Header> headers = new ArrayList<>(
                            List.of(new Header("X-Attempt-Id", "a1"), new Header("X-Runner-Signature", "s")));
                    headers.addAll(extra);
                    c.listener().onHead(200, headers);
                    c.listener().onEnd(false);
                }
            }
            return request;
        });
    }

    /** Returns the number of requests to the second server among 100 in one second. */
    private int sentToSecondInOneSecond() {
        sentTo.clear();
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            statuses.add(exchange("/read/x", List.of()).status());
            advance(10);
        }
        assertThat(statuses).containsOnly(200);
        return (int) sentTo.stream().filter(COLD::equals).count();
    }

    @Test
    void aColdServerGetsNoMoreThanThisInstancesShareAndTheOthersGetTheRest() {
        startWithLimit(warm(), second(0));
        register(warm(), restarted());
        assertThat(sentToSecondInOneSecond()).isBetween(1, SHARE);
        assertThat(metrics.counter("requests.heldByColdServers").getCount()).isPositive();
        advance(PHASE.durationMs() + 1_500);
        assertThat(sentToSecondInOneSecond()).isGreaterThan(10 * SHARE);
    }

    @Test
    void withoutTheSettingAColdServerIsTreatedLikeAnyOther() {
        start(Optional.empty());
        register(warm(), restarted());
        assertThat(sentToSecondInOneSecond()).isGreaterThan(10 * SHARE);
    }

    @Test
    void aServerWhoseAnswerReportsThatItIsColdAgainIsLimitedAtOnce() {
        startWithLimit(warm(), second(0));
        assertThat(sentToSecondInOneSecond()).isGreaterThan(10 * SHARE);
        while (!sentTo.get(sentTo.size() - 1).equals(COLD)) {
            exchange("/read/x", List.of());
        }
        register(second(0));
        exchange("/read/x", List.of(new Header("X-Cold-Ms", "3000")));
        register(warm(), second(0));
        assertThat(sentToSecondInOneSecond()).isLessThanOrEqualTo(SHARE);
    }

    @Test
    void aServerWhoseRegistrationReportsThatItIsColdAgainIsLimitedAtOnce() {
        startWithLimit(warm(), second(0));
        assertThat(sentToSecondInOneSecond()).isGreaterThan(10 * SHARE);
        register(warm(), second(2_500));
        assertThat(sentToSecondInOneSecond()).isLessThanOrEqualTo(SHARE);
    }

    @Test
    void aRequestThatOnlyAColdServerCouldTakeIsRefusedAtOnceWithTheTimeUntilItMay() {
        startWithLimit(second(0));
        register(restarted());
        exchange("/read/x", List.of());
        FakeTransport.CallerRequest refused = exchange("/read/x", List.of());
        assertThat(refused.status()).isEqualTo(503);
        assertThat(refused.retryAfterSeconds()).isGreaterThan(0.5);
    }

    @Test
    void aRequestThatWaitsForAConnectionIsNotSentIfTheServerBecomesColdMeanwhile() {
        startWithLimit(second(0));
        exchange("/read/x", List.of());
        FakeTransport.CallerRequest waiting = inSerial(() -> request("/read/y"));
        register(warm(), restarted());
        sentTo.clear();
        FakeTransport.ServerConnection late = inSerial(() -> {
            // Another request makes this instance see the new registration.
            request("/read/z");
            return transport.open();
        });
        assertThat(late.address()).isEqualTo(COLD);
        assertThat(late.isSent()).isFalse();
        assertThat(waiting.status()).isZero();
        List<String> opened = new ArrayList<>();
        serial.run(() -> {
            while (transport.connecting() > 0) {
                opened.add(transport.open().address());
            }
        });
        assertThat(opened).contains(WARM);
    }

    /** The check is a timer, which runs in real time. */
    @Test
    void aServerThatClosedAConnectionIsLimitedAndItsHealthCheckCounts() {
        startWithLimit(second(0));
        FakeTransport.ServerConnection broken = inSerial(() -> {
            request("/read/x");
            return transport.open();
        });
        advance(SETTLED_MS);
        serial.run(() -> broken.listener().onBroken("reset by the test"));
        FakeTransport.ServerConnection check = awaitConnection();
        assertThat(check.isSent()).isTrue();
        serial.run(() -> check.listener().onHead(200, List.of(new Header("X-Instance-Id", "i-2"))));
        assertThat(exchange("/read/y", List.of()).status()).isEqualTo(503);
    }

    @Test
    void aServerThatMayGetNothingNowIsCheckedByAConnectionOnly() {
        startWithLimit(second(0));
        FakeTransport.ServerConnection broken = inSerial(() -> {
            request("/read/x");
            return transport.open();
        });
        serial.run(() -> broken.listener().onBroken("reset by the test"));
        FakeTransport.ServerConnection check = awaitConnection();
        assertThat(check.isSent()).isFalse();
        assertThat(exchange("/read/y", List.of()).status()).isEqualTo(503);
        advance(1_250);
        assertThat(exchange("/read/y", List.of()).status()).isEqualTo(200);
    }

    private FakeTransport.ServerConnection awaitConnection() {
        long end = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        while (System.nanoTime() < end) {
            List<FakeTransport.ServerConnection> opened = new ArrayList<>();
            serial.run(() -> {
                if (transport.connecting() > 0) {
                    opened.add(transport.open());
                }
            });
            if (!opened.isEmpty()) {
                return opened.get(0);
            }
            Thread.onSpinWait();
        }
        throw new AssertionError("No connection was opened within 10 s.");
    }
}
