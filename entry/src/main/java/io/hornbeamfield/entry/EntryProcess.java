package io.hornbeamfield.entry;

import io.hornbeamfield.core.admission.ShutdownProgress;
import io.hornbeamfield.core.admission.ShutdownSchedule;
import io.hornbeamfield.core.admission.ShutdownStage;
import io.hornbeamfield.core.prepaid.PrepaidHoldings;
import io.hornbeamfield.core.quarantine.PartActivity;
import io.hornbeamfield.core.route.RouteConfig;
import io.hornbeamfield.core.time.MonotonicClock;
import io.hornbeamfield.entry.control.ControlPlane;
import io.hornbeamfield.entry.traffic.Traffic;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.metrics.Metrics;
import io.hornbeamfield.net.metrics.TransferredBytes;
import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.InboundLimits;
import io.hornbeamfield.net.relay.InboundRequest;
import io.hornbeamfield.net.relay.RelayTransport;
import io.hornbeamfield.net.relay.Serial;
import io.hornbeamfield.platform.StoreCalls;
import java.nio.file.Path;
import java.time.Clock;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;

/**
 * Entry daemon: wires controllers, request handling and endpoints, and manages startup and graceful shutdown.
 *
 * <pre>{@code
 * EntryProcess entry = EntryProcess.start(file, settings, log);
 * entry.shutDown().join();
 * entry.close();
 * }</pre>
 */
public final class EntryProcess implements AutoCloseable {
    private static final long SHUTDOWN_POLL_MS = 20;

    /** Time for requests that are still arriving when the process stops listening. */
    private static final long LAST_REQUESTS_MS = 500;

    /** A change of the file without a signal takes effect within seconds. */
    private static final long SETTINGS_POLL_MS = 2_000;

    /** A process that is killed leaves the counts of its last line, so at most this much is missing. */
    private static final long STORE_CALLS_LOG_MS = 10_000;

    private final LiveSettings live;

    /** Settings at startup; reloadable values are read from {@link #live}. */
    private final EntrySettings settings;

    private final Clock clock = MonotonicClock.start();
    private final Blackboard blackboard = new Blackboard();
    private final Serial serial = new Serial();
    private final ScheduledThreadPoolExecutor executor;

    /** Waits for the serial in place of the control thread, which must go on while request handling is held up. */
    private final ScheduledThreadPoolExecutor trafficExecutor;

    private final Timers timers;
    private final HttpClient http;
    private final RelayTransport transport;
    private final Traffic traffic;
    private final ControlPlane control;
    private final LoadSharing sharing;
    private final PrepaidHoldings book;
    private final EventLog log;
    private final Metrics metrics = Metrics.create();
    private final StoreCalls storeCalls = new StoreCalls(metrics);
    private final PartActivity partActivity = new PartActivity(clock);
    private @Nullable CompletableFuture<Void> shutdown;

    private EntryProcess(LiveSettings live, EventLog log) {
        this.live = live;
        this.settings = live.get();
        this.log = log;
        executor = executor("control");
        trafficExecutor = executor("traffic-timers");
        TransferredBytes controlBytes = new TransferredBytes();
        TransferredBytes requestBytes = new TransferredBytes();
        http = HttpClient.create("control", controlBytes);
        transport = RelayTransport.start("traffic", serial, requestBytes);
        book = new PrepaidHoldings(
                clock,
                settings.instance() + "/" + UUID.randomUUID(),
                blackboard::ledgerWriterCount,
                () -> blackboard.isLedgerWriter(settings.instance()),
                blackboard::hasInstancesWithoutHoldings);
        timers = new Timers(trafficExecutor, serial);
        TrafficNotifier notifier = new TrafficNotifier();
        sharing = new LoadSharing(settings, clock, blackboard, requestBytes, controlBytes, metrics, log);
        control = new ControlPlane(
                settings,
                clock,
                executor,
                http,
                blackboard,
                book,
                log,
                partActivity,
                notifier,
                notifier,
                storeCalls,
                sharing);
        traffic = Traffic.start(
                live,
                clock,
                timers,
                transport,
                blackboard,
                book,
                control::requestTokens,
                partActivity,
                control::serverCrashed,
                control.streamOrigins(),
                metrics,
                log);
        metrics.gauge("log.dropped", log::dropped);
        metrics.gauge(
                "config.version",
                () -> blackboard.config().map(RouteConfig::version).orElse(-1L));
        metrics.gauge("requests.open", traffic::openRequests);
        blackboard.callerShedding(() -> sharing.shedsCaller(transport.inboundConnections()));
        timers.every(LoadSharing.SAMPLE_MS, () -> sharing.sample(traffic::openRequests));
        metrics.gauge("evacuation.zones", () -> blackboard.evacuatedZones().size());
        listen();
        control.start();
        executor.scheduleWithFixedDelay(this::readSettings, SETTINGS_POLL_MS, SETTINGS_POLL_MS, TimeUnit.MILLISECONDS);
        executor.scheduleWithFixedDelay(
                this::logStoreCalls, STORE_CALLS_LOG_MS, STORE_CALLS_LOG_MS, TimeUnit.MILLISECONDS);
    }

    private static ScheduledThreadPoolExecutor executor(String threadName) {
        ScheduledThreadPoolExecutor created = new ScheduledThreadPoolExecutor(1, r -> {
            Thread t = new Thread(r, threadName);
            t.setDaemon(true);
            return t;
        });
        created.setRemoveOnCancelPolicy(true);
        return created;
    }

    private void readSettings() {
        LoggedTask.run("Reading the settings", live::reloadIfChanged);
    }

    /** Logs the number of calls to the store since the start by kind of object, call and result. */
    private void logStoreCalls() {
        Map<String, Long> counts = storeCalls.counts();
        EventLog.Line line = log.event("store-calls").field("calls", StoreCalls.total(counts));
        counts.forEach(line::field);
        line.write();
    }

    private void listen() {
        DiscoveryHandler discovery = new DiscoveryHandler(
                blackboard, settings.instance(), sharing, () -> live.get().addressTtlSeconds(), settings.zoneRegions());
        transport.listen(settings.readinessAddress(), () -> InboundLimits.DEFAULT, discovery::ready);
        transport.listen(settings.directoryAddress(), () -> InboundLimits.DEFAULT, discovery::addresses);
        if (settings.metricsPort() > 0) {
            String ip = settings.callerAddress()
                    .substring(0, settings.callerAddress().lastIndexOf(':'));
            MetricsPage page = new MetricsPage(metrics);
            transport.listen(ip + ":" + settings.metricsPort(), () -> InboundLimits.DEFAULT, r -> {
                if (r.path().equals("/state")) {
                    dumpState(r);
                } else {
                    page.handle(r);
                }
            });
        }
    }

    private void dumpState(InboundRequest request) {
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("instance", settings.instance());
        state.put("ready", blackboard.ready());
        state.put("stopping", blackboard.stopping());
        state.put("configVersion", blackboard.config().map(RouteConfig::version).orElse(-1L));
        state.put("members", blackboard.members());
        state.put("evacuatedZoneSeconds", evacuatedZoneSeconds());
        state.put("traffic", traffic.stats());
        state.put("freeTokens", book.freeTokens());
        request.reply(200, List.of(new Header("Content-Type", "application/json")), Json.bytes(state));
    }

    /** Returns for each evacuated zone for how long this instance has known of its evacuation. */
    private Map<String, Long> evacuatedZoneSeconds() {
        Map<String, Long> seconds = new TreeMap<>();
        long now = clock.millis();
        blackboard
                .evacuatedSinceMs()
                .forEach((zone, since) -> seconds.put(zone, TimeUnit.MILLISECONDS.toSeconds(now - since)));
        return seconds;
    }

    /** Starts a daemon with settings read from a file; reloadable values follow later changes of the file. */
    public static EntryProcess start(Path file, EntrySettings settings, EventLog log) {
        EntryProcess entry = new EntryProcess(LiveSettings.of(file, settings, log), log);
        log.event("start")
                .field("instance", settings.instance())
                .field("holder", entry.book.holder())
                .field("callerAddress", settings.callerAddress())
                .write();
        return entry;
    }

    /** Triggers an immediate reload of the settings file. */
    public void reloadSettings() {
        executor.execute(this::readSettings);
    }

    /** Forwards the events of the controllers to request handling, which may be held up. */
    private final class TrafficNotifier implements ControlPlane.TokenListener, ControlPlane.QuarantineListener {
        private final AtomicBoolean holdingsChangePending = new AtomicBoolean();

        @Override
        public void quarantineChanged() {
            timers.soon(traffic::quarantineChanged);
        }

        @Override
        public void holdingsChanged() {
            if (holdingsChangePending.compareAndSet(false, true)) {
                timers.soon(() -> {
                    holdingsChangePending.set(false);
                    traffic.holdingsChanged();
                });
            }
        }

        @Override
        public void exhausted(String workspace) {
            timers.soon(() -> traffic.tokensExhausted(workspace));
        }

        @Override
        public void unavailable(String workspace, long retryAfterMs) {
            timers.soon(() -> traffic.tokensUnavailable(workspace, retryAfterMs));
        }
    }

    /** Returns the state published by the controllers. */
    public Blackboard blackboard() {
        return blackboard;
    }

    /** Shuts down gracefully; the future completes when the process may exit. Further calls return the same future. */
    public synchronized CompletableFuture<Void> shutDown() {
        CompletableFuture<Void> running = shutdown;
        if (running != null) {
            return running;
        }
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        shutdown = stopped;
        long startedMs = clock.millis();
        ShutdownProgress progress =
                new ShutdownProgress(clock, () -> ShutdownSchedule.of(live.get().graceMs()));
        blackboard.shutdownStage(progress::stage);
        control.unregisterSelf();
        log.event("stop").field("openRequests", traffic.openRequests()).write();
        serial.run(() -> {
            traffic.shutdownStageChanged();
            completeRequests(progress, ShutdownStage.ACCEPTING, startedMs, stopped);
        });
        return stopped;
    }

    private long leftMs(long startedMs) {
        return ShutdownSchedule.of(live.get().graceMs()).exitMs() - (clock.millis() - startedMs);
    }

    private void completeRequests(
            ShutdownProgress progress, ShutdownStage before, long startedMs, CompletableFuture<Void> stopped) {
        ShutdownStage stage = progress.advance();
        if (stage != before) {
            traffic.shutdownStageChanged();
        }
        boolean idle =
                stage.isAtLeast(ShutdownStage.REFUSING) && traffic.openRequests() == 0 && transport.unsentBytes() == 0;
        if (idle || stage == ShutdownStage.ENDED) {
            returnTokens(startedMs, stopped);
        } else {
            Runnable next = () -> completeRequests(progress, stage, startedMs, stopped);
            timers.after(SHUTDOWN_POLL_MS, () -> transport.afterPendingInput(next));
        }
    }

    private void returnTokens(long startedMs, CompletableFuture<Void> stopped) {
        CompletableFuture<Void> returned = new CompletableFuture<>();
        control.returnTokens(() -> returned.complete(null));
        timers.after(leftMs(startedMs), () -> returned.complete(null));
        returned.thenRun(() -> {
            transport.stopListening();
            long limitMs = Math.min(LAST_REQUESTS_MS, leftMs(startedMs));
            closeConnections(startedMs, clock.millis() + limitMs, stopped);
        });
    }

    private void closeConnections(long startedMs, long untilMs, CompletableFuture<Void> stopped) {
        transport.closeIdle();
        if (transport.inboundConnections() == 0 || clock.millis() >= untilMs) {
            logStoreCalls();
            log.event("stopped")
                    .field("openRequests", traffic.openRequests())
                    .field("connections", transport.inboundConnections())
                    .field("ms", clock.millis() - startedMs)
                    .write();
            stopped.complete(null);
        } else {
            timers.after(SHUTDOWN_POLL_MS, () -> closeConnections(startedMs, untilMs, stopped));
        }
    }

    /** Stops immediately, without draining requests. */
    @Override
    public void close() {
        executor.shutdownNow();
        trafficExecutor.shutdownNow();
        control.close();
        transport.close();
        http.close();
    }
}
