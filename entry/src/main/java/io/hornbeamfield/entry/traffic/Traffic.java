package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.prepaid.PrepaidHoldings;
import io.hornbeamfield.core.route.CallerLimits;
import io.hornbeamfield.core.route.RouteConfig;
import io.hornbeamfield.entry.Blackboard;
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
 * The requests of callers.
 *
 * <pre>{@code
 * Traffic traffic = Traffic.start(settings, clock, timers, transport, blackboard, book, needTokens, metrics, log);
 * }</pre>
 */
public final class Traffic {
    private static final long TICK_MS = 250;

    private final RelayHandler handler;
    private final ServerLinks links;
    private final PrepaidQueue prepaid;
    private final RelayTransport transport;

    private Traffic(RelayHandler handler, ServerLinks links, PrepaidQueue prepaid, RelayTransport transport) {
        this.handler = handler;
        this.links = links;
        this.prepaid = prepaid;
        this.transport = transport;
    }

    /** Starts to serve callers. */
    @SuppressWarnings("checkstyle:ParameterNumber")
    public static Traffic start(
            Supplier<EntrySettings> settings,
            Clock clock,
            Timers timers,
            RelayTransport transport,
            Blackboard blackboard,
            PrepaidHoldings book,
            Consumer<String> needTokens,
            Metrics metrics,
            EventLog log) {
        ServerLinks links = new ServerLinks(clock, timers, transport, blackboard, log);
        PrepaidQueue prepaid = new PrepaidQueue(book, needTokens);
        RetryShares retries = new RetryShares(clock, settings, blackboard::instances);
        RelayHandler handler = new RelayHandler(
                new TrafficParts(clock, timers, blackboard, book, prepaid, links, retries, metrics, log));
        transport.listen(
                settings.get().callerAddress(),
                () -> blackboard
                        .config()
                        .map(RouteConfig::limits)
                        .map(Traffic::inbound)
                        .orElse(InboundLimits.DEFAULT),
                handler);
        timers.every(TICK_MS, () -> {
            links.tick();
            transport.sweep();
        });
        return new Traffic(handler, links, prepaid, transport);
    }

    private static InboundLimits inbound(CallerLimits l) {
        return new InboundLimits(l.maxHeaderBytes(), l.maxBodyBytes(), l.headerTimeoutMs(), l.idleTimeoutMs());
    }

    /** Serves the requests that waited for tokens. To be called in the serial. */
    public void holdingsChanged() {
        prepaid.holdingsChanged();
    }

    /** Turns the requests of a workspace away that its total does not cover. To be called in the serial. */
    public void tokensExhausted(String workspace) {
        prepaid.exhausted(workspace);
    }

    /** Turns the requests of a workspace away that wait for tokens. To be called in the serial. */
    public void tokensUnavailable(String workspace, long retryAfterMs) {
        prepaid.unavailable(workspace, retryAfterMs);
    }

    /** Refuses all further requests. To be called in the serial. */
    public void refuseAll() {
        handler.refuseAll();
    }

    /** Returns the requests in progress. */
    public int open() {
        return handler.open();
    }

    /** Returns figures for the state dump. */
    public Map<String, Integer> figures() {
        Map<String, Integer> figures = new TreeMap<>();
        figures.put("openRequests", handler.open());
        figures.put("waitingForTokens", prepaid.waiting());
        figures.put("callerConnections", transport.inboundConnections());
        figures.put("serverConnections", links.connections());
        figures.put("suspendedServers", links.suspendedCount());
        return figures;
    }
}
