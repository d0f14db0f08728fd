package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.attempt.BufferPool;
import io.hornbeamfield.core.prepaid.PrepaidHoldings;
import io.hornbeamfield.core.quarantine.PartActivity;
import io.hornbeamfield.core.route.CallerLimits;
import io.hornbeamfield.core.route.ConfigFreshness;
import io.hornbeamfield.core.route.RouteConfig;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.entry.DelayLog;
import io.hornbeamfield.entry.EntrySettings;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.entry.Timers;
import io.hornbeamfield.net.metrics.Metrics;
import io.hornbeamfield.net.relay.InboundLimits;
import io.hornbeamfield.net.relay.RelayTransport;
import java.time.Clock;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Entry point of request handling: serves the requests of callers.
 *
 * <pre>{@code
 * Traffic traffic = Traffic.start(settings, clock, timers, transport, blackboard, book, requestTokens, activity,
 *         crashListener, origins, metrics, log);
 * }</pre>
 */
public final class Traffic {
    /** Leaves room for the copies that are made while buffers grow. */
    private static final long BUFFERS_PER_HEAP = 8;

    private final RelayHandler handler;
    private final ServerConnectionPools pools;
    private final PrepaidQueue prepaid;
    private final RelayTransport transport;

    private Traffic(RelayHandler handler, ServerConnectionPools pools, PrepaidQueue prepaid, RelayTransport transport) {
        this.handler = handler;
        this.pools = pools;
        this.prepaid = prepaid;
        this.transport = transport;
    }

    /** Starts serving callers. */
    @SuppressWarnings("checkstyle:ParameterNumber")
    public static Traffic start(
            Supplier<EntrySettings> settings,
            Clock clock,
            Timers timers,
            RelayTransport transport,
            Blackboard blackboard,
            PrepaidHoldings book,
            Consumer<String> requestTokens,
            PartActivity partActivity,
            CrashListener crashListener,
            StreamOrigins origins,
            Metrics metrics,
            EventLog log) {
        ServerConnectionPools pools = new ServerConnectionPools(
                clock,
                timers,
                transport,
                blackboard,
                log,
                new ColdServerPolicy(clock, settings.get(), blackboard, metrics, log));
        EnginePolicies engines = new EnginePolicies(
                clock,
                blackboard,
                settings.get().deployment().terms().contention(),
                settings.get().availabilityZone(),
                metrics);
        PrepaidQueue prepaid = new PrepaidQueue(book, requestTokens);
        RetryBudgets retries = new RetryBudgets(clock, settings, blackboard::instanceCount);
        RefusalBackoffs refusals = new RefusalBackoffs(clock);
        RelayHandler handler = new RelayHandler(new TrafficContext(
                clock,
                timers,
                blackboard,
                new ConfigFreshness(
                        clock,
                        blackboard::configConfirmedMs,
                        () -> settings.get().changeAdoptionMs()),
                book,
                prepaid,
                pools,
                engines,
                retries,
                refusals,
                new BufferPool(Runtime.getRuntime().maxMemory() / BUFFERS_PER_HEAP),
                settings.get().zoneRegions(),
                partActivity,
                crashListener,
                origins,
                metrics,
                log));
        transport.listen(
                settings.get().callerAddress(),
                () -> blackboard
                        .config()
                        .map(RouteConfig::limits)
                        .map(Traffic::inbound)
                        .orElse(InboundLimits.DEFAULT),
                handler);
        DelayLog delays = new DelayLog(clock, log, "requests");
        timers.every(ServerConnectionPools.TICK_MS, () -> {
            delays.check(ServerConnectionPools.TICK_MS);
            pools.tick();
            engines.tick();
            transport.sweep();
        });
        return new Traffic(handler, pools, prepaid, transport);
    }

    private static InboundLimits inbound(CallerLimits l) {
        return new InboundLimits(l.maxHeaderBytes(), l.maxBodyBytes(), l.headerTimeoutMs(), l.idleTimeoutMs());
    }

    /** Retries the requests that wait for tokens. Must be called in the serial executor. */
    public void holdingsChanged() {
        prepaid.holdingsChanged();
    }

    /** Refuses the waiting requests that the total does not cover. Must be called in the serial executor. */
    public void tokensExhausted(String workspace) {
        prepaid.exhausted(workspace);
    }

    /** Refuses all waiting requests of a workspace. Must be called in the serial executor. */
    public void tokensUnavailable(String workspace, long retryAfterMs) {
        prepaid.unavailable(workspace, retryAfterMs);
    }

    /** Ends the requests that the quarantine now refuses. Must be called in the serial executor. */
    public void quarantineChanged() {
        pools.reportQuarantineChange();
    }

    /** Applies a new stage of the shutdown to the requests in progress. Must be called in the serial executor. */
    public void shutdownStageChanged() {
        handler.shutdownStageChanged();
    }

    /** Returns the number of requests in progress. */
    public int openRequests() {
        return handler.openRequests();
    }

    /** Returns the statistics for the state dump. */
    public Map<String, Integer> stats() {
        Map<String, Integer> stats = new TreeMap<>();
        stats.put("openRequests", handler.openRequests());
        stats.put("waitingForTokens", prepaid.waiting());
        stats.put("callerConnections", transport.inboundConnections());
        stats.put("callersClosedAsUnread", transport.closedAsUnread());
        stats.put("serverConnections", pools.connections());
        stats.put("suspendedServers", pools.suspendedCount());
        return stats;
    }
}
