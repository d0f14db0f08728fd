package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.attempt.AttemptOutcome;
import io.hornbeamfield.core.discovery.BackendServer;
import io.hornbeamfield.core.placement.ObservedTime;
import io.hornbeamfield.core.placement.ServerNotices;
import io.hornbeamfield.core.route.ServiceSpec;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.entry.Timers;
import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.OutboundConnection;
import io.hornbeamfield.net.relay.OutboundListener;
import io.hornbeamfield.net.relay.OutboundRequest;
import io.hornbeamfield.net.relay.RelayTransport;
import io.hornbeamfield.platform.ServerNotice;
import io.hornbeamfield.platform.Wire;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Connection pools of all backend servers, and the servers suspended after failures. */
final class ServerConnectionPools {
    private static final long INITIAL_SUSPENSION_MS = 300;
    private static final long MAX_SUSPENSION_MS = 2_000;

    /** A health check waits for a slot like any other request, so it may take as long. */
    private static final long CHECK_TIMEOUT_MS = 1_000;

    /** Interval of the ticks. */
    static final long TICK_MS = 250;

    private static final long MAX_TICK_GAP_MS = 2 * TICK_MS;

    /** Bounds how long a suspended server remains unchecked after the end of an evacuation. */
    private static final long EVACUATED_CHECK_DELAY_MS = 300;

    private static final int HTTP_OK = 200;

    private final Clock clock;
    private final Timers timers;
    private final RelayTransport transport;
    private final Blackboard blackboard;
    private final EventLog log;
    private final ServerNotices notices;
    private final ColdServerPolicy cold;
    private final Map<String, ServerConnectionPool> pools = new HashMap<>();
    private final Map<String, Integer> suspensionCounts = new HashMap<>();
    private final Set<String> suspended = new HashSet<>();
    private final ObservedTime observedTime = new ObservedTime(TICK_MS);
    private long lastTickMs;

    ServerConnectionPools(
            Clock clock,
            Timers timers,
            RelayTransport transport,
            Blackboard blackboard,
            EventLog log,
            ColdServerPolicy cold) {
        this.clock = clock;
        this.timers = timers;
        this.transport = transport;
        this.blackboard = blackboard;
        this.log = log;
        this.cold = cold;
        this.notices = new ServerNotices(clock);
    }

    /** Returns the pools of the servers of a service that are not leaving and not suspended. */
    List<ServerConnectionPool> usable(String service) {
        List<ServerConnectionPool> usable = new ArrayList<>();
        for (BackendServer s : blackboard.servers(service)) {
            ServerConnectionPool pool = pools.computeIfAbsent(
                    s.id(),
                    id -> new ServerConnectionPool(clock, timers, transport, blackboard, log, notices, cold, s));
            pool.update(s);
            cold.seen(s);
            if (!suspended.contains(s.id()) && !pool.isLeaving()) {
                usable.add(pool);
            }
        }
        return usable;
    }

    /** Suspends a server until it passes a health check. */
    void suspend(ServerConnectionPool pool, String reason) {
        String id = pool.server().id();
        if (!suspended.add(id)) {
            return;
        }
        int count = suspensionCounts.merge(id, 1, Integer::sum);
        pool.closeIdle();
        cold.unreachable(pool.server());
        log.event("server-suspended")
                .field("server", id)
                .field("times", count)
                .field("reason", reason)
                .write();
        String healthPath = blackboard
                .config()
                .flatMap(c -> c.service(pool.server().service()))
                .map(ServiceSpec::healthPath)
                .orElse("/");
        scheduleCheck(pool, healthPath, count);
    }

    private void scheduleCheck(ServerConnectionPool pool, String healthPath, int count) {
        long delay = Math.min(MAX_SUSPENSION_MS, INITIAL_SUSPENSION_MS << Math.min(count - 1, 4));
        timers.after(Math.max(delay, pool.pauseMs()), () -> check(pool, healthPath));
    }

    private void check(ServerConnectionPool pool, String healthPath) {
        String id = pool.server().id();
        if (pools.get(id) != pool || !isRegistered(pool)) {
            suspended.remove(id);
            suspensionCounts.remove(id);
            return;
        }
        if (pool.isEvacuated()) {
            postponeCheck(pool, healthPath);
            return;
        }
        HealthCheck check = new HealthCheck(pool, healthPath);
        ServerTimeout.start(clock, timers, CHECK_TIMEOUT_MS, check::timedOut);
        pool.acquire(Integer.MAX_VALUE, check);
    }

    /** The server stays suspended, because its health at the end of the evacuation is not known. */
    private void postponeCheck(ServerConnectionPool pool, String healthPath) {
        timers.after(EVACUATED_CHECK_DELAY_MS, () -> check(pool, healthPath));
    }

    /** What was learned about a server in an evacuated zone is kept for the end of the evacuation. */
    private boolean isRegistered(ServerConnectionPool pool) {
        return blackboard.registeredServers(pool.server().service()).stream()
                .anyMatch(s -> s.id().equals(pool.server().id()));
    }

    /** Suspends silent servers, closes expired idle connections and removes the pools of unlisted servers. */
    void tick() {
        long now = clock.millis();
        // After a pause of this process, data that servers sent in the meantime has not been read yet.
        boolean onSchedule = now - lastTickMs <= MAX_TICK_GAP_MS;
        lastTickMs = now;
        long observedMs = observedTime.check(now);
        cold.tick();
        if (onSchedule) {
            pools.values().stream()
                    .filter(p -> isSilent(p, observedMs))
                    .toList()
                    .forEach(this::suspendSilent);
            List.copyOf(pools.values()).forEach(p -> p.reportStalledStreams(observedMs));
        }
        for (Iterator<ServerConnectionPool> i = pools.values().iterator(); i.hasNext(); ) {
            ServerConnectionPool pool = i.next();
            pool.evictIdle();
            if (pool.takeIdleConnectionLost() && cold.applies(pool.server())) {
                suspend(pool, "it closed an idle connection early");
            }
            boolean registered = isRegistered(pool);
            if (!registered && pool.outstanding() == 0) {
                pool.remove();
                i.remove();
            } else if (!registered || pool.isEvacuated()) {
                pool.closeIdle();
            }
        }
    }

    /** Notifies all attempts that other requests may be refused from now on. */
    void reportQuarantineChange() {
        List.copyOf(pools.values()).forEach(ServerConnectionPool::reportQuarantineChange);
    }

    private boolean isSilent(ServerConnectionPool pool, long observedMs) {
        long pauseMs = blackboard
                .config()
                .map(c -> c.longestEventPauseMs(pool.server().service()))
                .orElse(0L);
        return pool.isSilent(observedMs, pauseMs);
    }

    private void suspendSilent(ServerConnectionPool pool) {
        if (!suspended.contains(pool.server().id())) {
            suspend(pool, "silent with " + pool.outstanding() + " requests");
        }
        pool.reportSilence();
    }

    /**
     * Suspends the server of an attempt if it is unreachable, if it sends without end, or if its address now belongs to
     * another server, or if it may have restarted and tolerates few requests then.
     */
    void suspendIfUnusable(Attempt ended, AttemptOutcome end, String reason) {
        boolean unreachable = end == AttemptOutcome.NOT_CONNECTED && !ended.isWithheld();
        boolean replaced = ended.status() == Wire.WRONG_SERVER
                && (end == AttemptOutcome.DECLINED || end == AttemptOutcome.UNPROVEN_REFUSAL);
        // A server that tolerates few requests after its start may have restarted.
        boolean restarted =
                ended.isConnectionLost() && cold.applies(ended.pool().server());
        if (unreachable || replaced || restarted || ended.isExcessive()) {
            suspend(ended.pool(), reason);
        }
    }

    /** Returns this instance's share of the connections that a server of a service accepts. */
    int maxConnections(Optional<ServiceSpec> spec) {
        int all = spec.map(ServiceSpec::maxConnections).orElse(Integer.MAX_VALUE);
        return Math.max(2, all / Math.max(1, blackboard.instanceCount()));
    }

    int connections() {
        return pools.values().stream()
                .mapToInt(ServerConnectionPool::connections)
                .sum();
    }

    int suspendedCount() {
        return suspended.size();
    }

    /**
     * Health check of a suspended server. A server that may be cold runs it as work, so that it is sent only if this
     * instance may send a request; otherwise an open connection shows that the server can be reached.
     */
    private final class HealthCheck implements ServerConnectionPool.Listener, OutboundListener {
        private final ServerConnectionPool pool;
        private final String path;
        private @Nullable OutboundConnection connection;
        private final boolean asRequest;
        private final long coldPlaceMs;
        private OptionalLong coldMs = OptionalLong.empty();
        private boolean done;

        HealthCheck(ServerConnectionPool pool, String path) {
            this.pool = pool;
            this.path = path;
            this.asRequest = cold.delayMs(pool.server()) == 0;
            this.coldPlaceMs = asRequest ? cold.requestStarted(pool.server()) : 0;
        }

        @Override
        public void onConnection(OutboundConnection c, boolean reused) {
            if (done) {
                pool.discard(c);
                return;
            }
            connection = c;
            if (pool.isEvacuated()) {
                done = true;
                pool.discard(c);
                postponeCheck(pool, path);
                return;
            }
            if (!asRequest || !pool.maySend(coldPlaceMs)) {
                finish(true, "");
                return;
            }
            List<Header> headers = List.of(new Header("Host", pool.server().address()));
            c.send(new OutboundRequest("GET", path, headers, new byte[0]), this);
        }

        @Override
        public void onUnavailable(String reason, boolean tried) {
            finish(false, reason);
        }

        @Override
        public void onHead(int status, List<Header> headers) {
            String answeredBy = Header.find(headers, Wire.SERVER_ID).orElse("");
            // The address of a terminated server may already belong to another one.
            boolean other =
                    !answeredBy.isEmpty() && !answeredBy.equals(pool.server().id());
            if (!other) {
                ServerNotice notice = ServerNotice.of(status, headers);
                pool.recordNotice(pool.server(), notice);
                coldMs = notice.coldMs();
            }
            finish(status == HTTP_OK && !other, other ? "answered by " + answeredBy : "status " + status);
        }

        @Override
        public void onData(byte[] part) {
            // The check ends with the head, because the body may have no end.
        }

        @Override
        public void onEnd(boolean reusable) {
            // The check has ended with the head.
        }

        @Override
        public void onBroken(String reason) {
            finish(false, reason);
        }

        void timedOut() {
            finish(false, "no answer within " + CHECK_TIMEOUT_MS + " ms");
        }

        private void finish(boolean healthy, String reason) {
            if (done) {
                return;
            }
            done = true;
            if (connection != null) {
                pool.discard(connection);
            }
            String id = pool.server().id();
            if (healthy) {
                suspended.remove(id);
                cold.reachable(pool.server(), coldMs);
                log.event("server-resumed").field("server", id).write();
                timers.after(MAX_SUSPENSION_MS, () -> {
                    if (!suspended.contains(id)) {
                        suspensionCounts.remove(id);
                    }
                });
            } else {
                cold.unreachable(pool.server());
                log.event("server-check-failed")
                        .field("server", id)
                        .field("reason", reason)
                        .write();
                scheduleCheck(pool, path, suspensionCounts.merge(id, 1, Integer::sum));
            }
        }
    }
}
