package io.hornbeamfield.entry;

import io.hornbeamfield.core.prepaid.PrepaidHoldings;
import io.hornbeamfield.core.route.RouteConfig;
import io.hornbeamfield.core.time.MonotonicClock;
import io.hornbeamfield.entry.control.Control;
import io.hornbeamfield.entry.traffic.Traffic;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.metrics.Metrics;
import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.InboundLimits;
import io.hornbeamfield.net.relay.InboundRequest;
import io.hornbeamfield.net.relay.RelayTransport;
import io.hornbeamfield.net.relay.Serial;
import java.nio.file.Path;
import java.time.Clock;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * A whole entry daemon.
 *
 * <pre>{@code
 * EntryProcess entry = EntryProcess.start(settings, log);
 * entry.leave().join();
 * entry.close();
 * }</pre>
 */
public final class EntryProcess implements AutoCloseable {
    /**
     * Requests that arrive later than this after the start of a shutdown may still be at work when the grace ends.
     * Callers know other addresses by then.
     */
    private static final long ACCEPT_WHILE_LEAVING_MS = 2_800;

    /** Time of the grace that is kept for giving tokens back and for the last answers to leave. */
    private static final long LEAVE_RESERVE_MS = 700;

    private static final long LEAVE_POLL_MS = 50;

    /** An operator who changes the file without a signal sees the change within seconds. */
    private static final long SETTINGS_CHECK_MS = 2_000;

    private final LiveSettings live;

    /** As of the start; what can change meanwhile is read from {@link #live}. */
    private final EntrySettings settings;

    private final Clock clock = MonotonicClock.start();
    private final Blackboard blackboard = new Blackboard();
    private final Serial serial = new Serial();
    private final ScheduledThreadPoolExecutor executor;
    private final HttpClient http;
    private final RelayTransport transport;
    private final Traffic traffic;
    private final Control control;
    private final PrepaidHoldings book;
    private final EventLog log;
    private final Metrics metrics = Metrics.create();

    private EntryProcess(LiveSettings live, EventLog log) {
        this.live = live;
        this.settings = live.get();
        this.log = log;
        executor = new ScheduledThreadPoolExecutor(1, r -> {
            Thread t = new Thread(r, "control");
            t.setDaemon(true);
            return t;
        });
        executor.setRemoveOnCancelPolicy(true);
        http = HttpClient.create("control");
        transport = RelayTransport.start("traffic", serial);
        book = new PrepaidHoldings(
                clock,
                settings.instance() + "/" + UUID.randomUUID(),
                blackboard::holders,
                () -> blackboard.isLedgerWriter(settings.instance()));
        Timers timers = new Timers(executor, serial);
        control = new Control(settings, clock, executor, http, blackboard, book, log, new Waiters());
        traffic = Traffic.start(live, clock, timers, transport, blackboard, book, control::needTokens, metrics, log);
        metrics.gauge("log.dropped", log::dropped);
        metrics.gauge(
                "config.version",
                () -> blackboard.config().map(RouteConfig::version).orElse(-1L));
        metrics.gauge("requests.open", traffic::open);
        listen();
        control.start();
        executor.scheduleWithFixedDelay(live::check, SETTINGS_CHECK_MS, SETTINGS_CHECK_MS, TimeUnit.MILLISECONDS);
    }

    private void listen() {
        Directory directory =
                new Directory(blackboard, settings.instance(), () -> live.get().addressTtlSeconds());
        transport.listen(settings.readinessAddress(), () -> InboundLimits.DEFAULT, directory::ready);
        transport.listen(settings.directoryAddress(), () -> InboundLimits.DEFAULT, directory::addresses);
        if (settings.metricsPort() > 0) {
            String ip = settings.callerAddress()
                    .substring(0, settings.callerAddress().lastIndexOf(':'));
            MetricsPage page = new MetricsPage(metrics);
            transport.listen(ip + ":" + settings.metricsPort(), () -> InboundLimits.DEFAULT, r -> {
                if (r.path().equals("/state")) {
                    state(r);
                } else {
                    page.handle(r);
                }
            });
        }
    }

    private void state(InboundRequest request) {
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("instance", settings.instance());
        state.put("ready", blackboard.ready());
        state.put("stopping", blackboard.stopping());
        state.put("configVersion", blackboard.config().map(RouteConfig::version).orElse(-1L));
        state.put("members", blackboard.members());
        state.put("traffic", traffic.figures());
        state.put("freeTokens", book.freeTokens());
        request.reply(200, List.of(new Header("Content-Type", "application/json")), Json.bytes(state));
    }

    /** Starts a daemon with settings that were read from a file; later changes of the file are taken over. */
    public static EntryProcess start(Path file, EntrySettings settings, EventLog log) {
        EntryProcess entry = new EntryProcess(LiveSettings.of(file, settings, log), log);
        log.event("start")
                .field("instance", settings.instance())
                .field("holder", entry.book.holder())
                .field("callerAddress", settings.callerAddress())
                .write();
        return entry;
    }

    /** Takes over changes of the settings file now. */
    public void reloadSettings() {
        executor.execute(live::check);
    }

    /** Passes news about tokens on to the traffic. */
    private final class Waiters implements Control.Waiters {
        @Override
        public void holdingsChanged() {
            serial.run(() -> traffic.holdingsChanged());
        }

        @Override
        public void exhausted(String workspace) {
            serial.run(() -> traffic.tokensExhausted(workspace));
        }

        @Override
        public void unavailable(String workspace, long retryAfterMs) {
            serial.run(() -> traffic.tokensUnavailable(workspace, retryAfterMs));
        }
    }

    /** Returns the state that controllers publish. */
    public Blackboard blackboard() {
        return blackboard;
    }

    /** Shuts down gracefully: the future completes when the process may end. */
    public CompletableFuture<Void> leave() {
        long startedMs = clock.millis();
        CompletableFuture<Void> left = new CompletableFuture<>();
        blackboard.stop();
        control.leave();
        log.event("stop").field("openRequests", traffic.open()).write();
        new Timers(executor, serial).after(ACCEPT_WHILE_LEAVING_MS, traffic::refuseAll);
        awaitLastRequest(startedMs, left);
        return left;
    }

    private void awaitLastRequest(long startedMs, CompletableFuture<Void> left) {
        long passed = clock.millis() - startedMs;
        boolean graceEnds = passed > live.get().graceMs() - LEAVE_RESERVE_MS;
        boolean idle = passed > ACCEPT_WHILE_LEAVING_MS + 2 * LEAVE_POLL_MS && traffic.open() == 0;
        if (graceEnds || idle) {
            control.returnTokens(() -> {
                log.event("stopped")
                        .field("openRequests", traffic.open())
                        .field("ms", clock.millis() - startedMs)
                        .write();
                left.complete(null);
            });
        } else {
            new Timers(executor, serial).after(LEAVE_POLL_MS, () -> awaitLastRequest(startedMs, left));
        }
    }

    /** Stops at once. */
    @Override
    public void close() {
        executor.shutdownNow();
        control.close();
        transport.close();
        http.close();
    }
}
