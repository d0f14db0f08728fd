package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.discovery.BackendServer;
import io.hornbeamfield.core.placement.EventInterval;
import io.hornbeamfield.core.placement.ServerRateShare;
import io.hornbeamfield.core.placement.SilenceDetector;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.entry.Timers;
import io.hornbeamfield.net.relay.ConnectListener;
import io.hornbeamfield.net.relay.OutboundConnection;
import io.hornbeamfield.net.relay.RelayTransport;
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
    private int outstanding;
    private long queuedPromptTokens;
    private boolean removed;

    /** An idle connection, and since when it is idle. */
    private record Idle(OutboundConnection connection, long sinceMs) {}

    /** Receives a connection, or the reason why none is available. */
    interface Listener {
        void onConnection(OutboundConnection connection, boolean reused);

        void onUnavailable(String reason);
    }

    ServerConnectionPool(
            Clock clock,
            Timers timers,
            RelayTransport transport,
            Blackboard blackboard,
            EventLog log,
            BackendServer server) {
        this.blackboard = blackboard;
        this.log = log;
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

    /** Returns this instance's share of the request rate that the server accepts. */
    ServerRateShare rate() {
        return rate;
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

    void requestStarted(Attempt attempt, long promptTokens) {
        rate.requestSent(blackboard.instanceCount());
        outstanding++;
        queuedPromptTokens += promptTokens;
        attempts.add(attempt);
    }

    /** Records that the request of an attempt was written to the server. */
    void recordSent() {
        silence.requestSent(clock.millis());
    }

    /** Records that data arrived from the server. */
    void recordReceived() {
        silence.dataReceived(clock.millis());
    }

    void streamStarted() {
        silence.streamStarted();
    }

    /** Returns whether the server has been silent for longer than its requests in flight can explain. */
    boolean isSilent(long declaredPauseMs) {
        return silence.isSilent(clock.millis(), declaredPauseMs);
    }

    /** Notifies the attempts whose streams are stalled, although the server may send bytes. */
    void reportStalledStreams() {
        long now = clock.millis();
        attempts.stream().filter(a -> a.isStalled(now)).toList().forEach(Attempt::reportServerSilent);
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
        Idle reusable = pollIdle();
        if (reusable != null) {
            listener.onConnection(reusable.connection(), true);
            return;
        }
        if (connections >= maxConnections) {
            listener.onUnavailable("all " + connections + " connections are in use");
            return;
        }
        connections++;
        connect(listener);
    }

    private void connect(Listener listener) {
        Connecting connecting = new Connecting(listener);
        timers.after(CONNECT_TIMEOUT_MS, connecting::timedOut);
        transport.connect(server.address(), connecting);
    }

    /** Returns a connection to the pool after a complete response. */
    void release(OutboundConnection connection, long serverIdleLimitMs) {
        if (serverIdleLimitMs > 0) {
            idleLimitMs = Math.max(0, serverIdleLimitMs - IDLE_SAFETY_MARGIN_MS);
        }
        timers.after(REUSE_DELAY_MS, () -> {
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
            discard(idle.removeLast().connection());
        }
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
                listener.onUnavailable(reason);
            }
        }

        void timedOut() {
            onFailed("no connection within " + CONNECT_TIMEOUT_MS + " ms");
        }
    }
}
