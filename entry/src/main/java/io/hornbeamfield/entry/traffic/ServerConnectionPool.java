package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.discovery.BackendServer;
import io.hornbeamfield.core.placement.EventInterval;
import io.hornbeamfield.core.placement.ServerNotices;
import io.hornbeamfield.core.placement.ServerRateShare;
import io.hornbeamfield.core.placement.SilenceDetector;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.entry.Timers;
import io.hornbeamfield.net.relay.ConnectListener;
import io.hornbeamfield.net.relay.OutboundConnection;
import io.hornbeamfield.net.relay.RelayTransport;
import io.hornbeamfield.platform.ServerNotice;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;

/** Connection pool of one backend server, with the requests that this instance has in flight there. */
final class ServerConnectionPool {
    /** Connecting takes milliseconds within a zone; a lost SYN would be retransmitted only after a second. */
    private static final long CONNECT_TIMEOUT_MS = 400;

    /** Excess bytes after a response must be detected before the connection is reused. */
    private static final long REUSE_DELAY_MS = 2;

    /** Applies until the server has announced its own limit; servers close idle connections after some seconds. */
    private static final long DEFAULT_IDLE_LIMIT_MS = 2_000;

    /** Prevents sending a request on an idle connection that the server is about to close. */
    private static final long IDLE_SAFETY_MARGIN_MS = 800;

    private final Blackboard blackboard;
    private final EventLog log;
    private final ServerNotices notices;
    private final ColdServerPolicy cold;
    private final ServerRateShare rate;
    private final Clock clock;
    private final Timers timers;
    private final RelayTransport transport;
    private final Deque<Idle> idle = new ArrayDeque<>();
    private final EventInterval eventGap = new EventInterval();
    private final SilenceDetector silence = new SilenceDetector();
    private final Set<Attempt> attempts = new HashSet<>();
    private BackendServer server;
    private long idleLimitMs = DEFAULT_IDLE_LIMIT_MS;
    private int connections;
    /** Connections whose response is complete and that are not reused yet. */
    private int released;

    private int outstanding;
    private long queuedPromptTokens;
    private boolean removed;
    private boolean malformedPauseLogged;
    private boolean malformedColdLogged;
    private boolean idleConnectionLost;

    /** An idle connection, and since when it is idle. */
    private record Idle(OutboundConnection connection, long sinceMs) {}

    /** Receives a connection, or the reason why none is available. */
    interface Listener {
        void onConnection(OutboundConnection connection, boolean reused);

        /**
         * No connection is available.
         *
         * @param tried whether a connection was attempted; otherwise this instance has as many as it may
         */
        void onUnavailable(String reason, boolean tried);
    }

    ServerConnectionPool(
            Clock clock,
            Timers timers,
            RelayTransport transport,
            Blackboard blackboard,
            EventLog log,
            ServerNotices notices,
            ColdServerPolicy cold,
            BackendServer server) {
        this.blackboard = blackboard;
        this.log = log;
        this.notices = notices;
        this.cold = cold;
        this.rate = new ServerRateShare(clock);
        this.clock = clock;
        this.timers = timers;
        this.transport = transport;
        this.server = server;
    }

    BackendServer server() {
        return server;
    }

    int outstanding() {
        return outstanding;
    }

    long queuedPromptTokens() {
        return queuedPromptTokens;
    }

    EventInterval eventGap() {
        return eventGap;
    }

    int connections() {
        return connections;
    }

    /** Returns whether the server has said that it is leaving. */
    boolean isLeaving() {
        return notices.delayMs(server).isEmpty();
    }

    /** Returns the time for which the server has said that it wants no requests, 0 if it is over. */
    long pauseMs() {
        return notices.delayMs(server).orElse(0);
    }

    /** Returns the time until the server takes a request of this instance, 0 if it takes one now. */
    long delayMs() {
        return Math.max(Math.max(rate.delayMs(), pauseMs()), cold.delayMs(server));
    }

    /** Returns whether this instance may send the server nothing now because it is cold. */
    boolean isHeldAsCold() {
        return cold.delayMs(server) > 0;
    }

    /**
     * Returns whether a started request may be written now although the server may be cold.
     *
     * @param coldPlaceMs result of {@link #requestStarted}
     */
    boolean maySend(long coldPlaceMs) {
        return cold.maySend(server, coldPlaceMs);
    }

    /** Returns whether nothing may be sent to the server because its zone is evacuated. */
    boolean isEvacuated() {
        return blackboard.evacuatedZones().contains(server.zone());
    }

    /** Returns whether requests that have not been sent yet must go to another server. */
    boolean isClosedToRequests() {
        return isEvacuated() || isLeaving() || pauseMs() > 0;
    }

    /** Records what an answer of the server, or of an earlier incarnation of it, says about new requests. */
    void recordNotice(BackendServer from, ServerNotice notice) {
        if (notice.leaving() && notices.leaving(from)) {
            logNotice("leaving", 0, "");
        }
        notice.pauseMs().ifPresent(ms -> {
            if (notices.pauseRequested(from, ms)) {
                logNotice("pause", pauseMs(), "");
            }
        });
        notice.coldMs().ifPresent(ms -> cold.reported(from, ms));
        notice.malformedCold().ifPresent(text -> {
            if (!malformedColdLogged) {
                malformedColdLogged = true;
                logNotice("ignored", 0, text);
            }
        });
        notice.malformedPause().ifPresent(text -> {
            if (!malformedPauseLogged) {
                malformedPauseLogged = true;
                logNotice("ignored", 0, text);
            }
        });
    }

    private void logNotice(String notice, long pauseMs, String malformed) {
        log.event("server-notice")
                .field("server", server.id())
                .field("notice", notice)
                .field("pauseMs", pauseMs)
                .field("malformed", malformed)
                .write();
    }

    /** Records the request rate that an answer of the server announces, empty if it announces none. */
    void recordRate(OptionalDouble perSecond) {
        int instances = blackboard.instanceCount();
        boolean changed =
                rate.announced(perSecond.isPresent(), perSecond.orElse(0), instances, ThreadLocalRandom.current());
        if (changed) {
            log.event("server-rate")
                    .field("server", server.id())
                    .field("perSecond", rate.isLimited() ? Double.toString(rate.perSecond()) : "unlimited")
                    .field("instances", instances)
                    .field("nextMs", rate.delayMs())
                    .write();
        }
    }

    /** Records that a request is being sent and returns its place among those to the server if that is cold, else 0. */
    long requestStarted(Attempt attempt, long promptTokens) {
        rate.requestSent(blackboard.instanceCount());
        outstanding++;
        queuedPromptTokens += promptTokens;
        attempts.add(attempt);
        return cold.requestStarted(server);
    }

    /** Records that the request of an attempt was written to the server. */
    void recordSent() {
        silence.requestSent(clock.millis());
    }

    long nowMs() {
        return clock.millis();
    }

    /** Records that data arrived from the server. */
    void recordReceived() {
        silence.dataReceived(clock.millis());
    }

    void streamStarted() {
        silence.streamStarted();
    }

    /** Returns whether the server has been silent for longer than its requests in flight can explain. */
    boolean isSilent(long observedMs, long declaredPauseMs) {
        return silence.isSilent(observedMs, declaredPauseMs);
    }

    /** Notifies the attempts whose streams are stalled, although the server may send bytes. */
    void reportStalledStreams(long observedMs) {
        attempts.stream().filter(a -> a.isStalled(observedMs)).toList().forEach(Attempt::reportServerSilent);
    }

    /** Notifies all attempts at this server that it is silent. */
    void reportSilence() {
        List.copyOf(attempts).forEach(Attempt::reportServerSilent);
    }

    /** Notifies all attempts at this server that other requests may be refused from now on. */
    void reportQuarantineChange() {
        List.copyOf(attempts).forEach(Attempt::reportQuarantineChange);
    }

    void promptRead(long promptTokens) {
        queuedPromptTokens -= promptTokens;
    }

    void requestEnded(Attempt attempt, boolean sent, boolean streaming) {
        outstanding--;
        attempts.remove(attempt);
        if (sent) {
            silence.requestEnded(streaming);
        }
    }

    /** Updates the registration; connections to an earlier incarnation of the server are closed. */
    void update(BackendServer next) {
        if (!server.sameIncarnation(next)) {
            closeIdle();
        }
        server = next;
    }

    void acquire(int maxConnections, Listener listener) {
        acquire(maxConnections, listener, REUSE_DELAY_MS);
    }

    /** Waits for a connection that is about to become idle rather than refuse a request while the server is free. */
    private void acquire(int maxConnections, Listener listener, long mayWaitMs) {
        Idle reusable = pollIdle();
        if (reusable != null) {
            listener.onConnection(reusable.connection(), true);
            return;
        }
        if (connections >= maxConnections && released > 0 && mayWaitMs > 0) {
            timers.after(mayWaitMs, () -> acquire(maxConnections, listener, 0));
            return;
        }
        if (connections >= maxConnections) {
            listener.onUnavailable("all " + connections + " connections are in use", false);
            return;
        }
        connections++;
        connect(listener);
    }

    private void connect(Listener listener) {
        Connecting connecting = new Connecting(listener);
        ServerTimeout.start(clock, timers, CONNECT_TIMEOUT_MS, connecting::timedOut);
        transport.connect(server.address(), connecting);
    }

    /** Returns a connection to the pool after a complete response. */
    void release(OutboundConnection connection, long serverIdleLimitMs) {
        if (serverIdleLimitMs > 0) {
            idleLimitMs = Math.max(0, serverIdleLimitMs - IDLE_SAFETY_MARGIN_MS);
        }
        released++;
        timers.after(REUSE_DELAY_MS, () -> {
            released--;
            if (connection.isOpen() && !removed) {
                idle.push(new Idle(connection, clock.millis()));
            } else {
                discard(connection);
            }
        });
    }

    /** Closes a connection and removes it from the pool. */
    void discard(OutboundConnection connection) {
        connection.close();
        connections--;
    }

    private @Nullable Idle pollIdle() {
        long idleCutoffMs = clock.millis() - idleLimitMs;
        for (Idle i = idle.poll(); i != null; i = idle.poll()) {
            if (i.connection().isOpen() && i.sinceMs() >= idleCutoffMs) {
                return i;
            }
            idleConnectionLost |= i.sinceMs() >= idleCutoffMs;
            discard(i.connection());
        }
        return null;
    }

    /** Closes connections that exceed the idle limit. */
    void evictIdle() {
        long idleCutoffMs = clock.millis() - idleLimitMs;
        while (!idle.isEmpty()
                && (idle.getLast().sinceMs() < idleCutoffMs
                        || !idle.getLast().connection().isOpen())) {
            Idle last = idle.removeLast();
            idleConnectionLost |= last.sinceMs() >= idleCutoffMs;
            discard(last.connection());
        }
    }

    /** Returns whether the server has closed an idle connection early since the last call, as it does if it ends. */
    boolean takeIdleConnectionLost() {
        boolean lost = idleConnectionLost;
        idleConnectionLost = false;
        return lost;
    }

    void closeIdle() {
        while (!idle.isEmpty()) {
            discard(idle.removeLast().connection());
        }
    }

    void remove() {
        removed = true;
        closeIdle();
    }

    /** A connection that is being opened. */
    private final class Connecting implements ConnectListener {
        private final Listener listener;
        private boolean done;

        Connecting(Listener listener) {
            this.listener = listener;
        }

        @Override
        public void onConnected(OutboundConnection connection) {
            if (done) {
                connection.close();
                return;
            }
            done = true;
            listener.onConnection(connection, false);
        }

        @Override
        public void onFailed(String reason) {
            if (!done) {
                done = true;
                connections--;
                listener.onUnavailable(reason, true);
            }
        }

        void timedOut() {
            onFailed("no connection within " + CONNECT_TIMEOUT_MS + " ms");
        }
    }
}
