package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.discovery.BackendServer;
import io.hornbeamfield.core.route.ServiceSpec;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.entry.Timers;
import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.OutboundConnection;
import io.hornbeamfield.net.relay.OutboundListener;
import io.hornbeamfield.net.relay.OutboundRequest;
import io.hornbeamfield.net.relay.RelayTransport;
import io.hornbeamfield.platform.Wire;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** The backend servers that this instance sends to, and those that it avoids for a while after failures. */
final class ServerLinks {
    private static final long FIRST_SUSPENSION_MS = 300;
    private static final long MAX_SUSPENSION_MS = 2_000;

    /** A health check waits for a slot like any request, so it may take as long as one. */
    private static final long CHECK_TIMEOUT_MS = 1_000;

    /** Twice the usual time between two ticks. */
    private static final long LONGEST_TICK_MS = 500;

    private static final int OK = 200;

    private final Clock clock;
    private final Timers timers;
    private final RelayTransport transport;
    private final Blackboard blackboard;
    private final EventLog log;
    private final Map<String, ServerLink> links = new HashMap<>();
    private final Map<String, Integer> suspensions = new HashMap<>();
    private final Set<String> suspended = new HashSet<>();
    private long lastTickMs;

    ServerLinks(Clock clock, Timers timers, RelayTransport transport, Blackboard blackboard, EventLog log) {
        this.clock = clock;
        this.timers = timers;
        this.transport = transport;
        this.blackboard = blackboard;
        this.log = log;
    }

    /** Returns the links to the servers of a service that take new requests and answered lately. */
    List<ServerLink> usable(String service) {
        List<ServerLink> usable = new ArrayList<>();
        for (BackendServer s : blackboard.servers(service)) {
            ServerLink link = links.computeIfAbsent(s.id(), id -> new ServerLink(clock, timers, transport, s));
            link.update(s);
            if (!suspended.contains(s.id())) {
                usable.add(link);
            }
        }
        return usable;
    }

    /** Avoids a server until it has answered a health check. */
    void suspend(ServerLink link, String healthPath, String reason) {
        String id = link.server().id();
        if (!suspended.add(id)) {
            return;
        }
        int count = suspensions.merge(id, 1, Integer::sum);
        link.closeIdle();
        log.event("server-suspended")
                .field("server", id)
                .field("times", count)
                .field("reason", reason)
                .write();
        checkLater(link, healthPath, count);
    }

    private void checkLater(ServerLink link, String healthPath, int count) {
        long delay = Math.min(MAX_SUSPENSION_MS, FIRST_SUSPENSION_MS << Math.min(count - 1, 4));
        timers.after(delay, () -> check(link, healthPath));
    }

    private void check(ServerLink link, String healthPath) {
        String id = link.server().id();
        if (links.get(id) != link
                || blackboard.servers(link.server().service()).stream().noneMatch(s -> s.id().equals(id))) {
            suspended.remove(id);
            suspensions.remove(id);
            return;
        }
        HealthCheck check = new HealthCheck(link, healthPath);
        timers.after(CHECK_TIMEOUT_MS, check::timedOut);
        link.acquire(Integer.MAX_VALUE, check);
    }

    /** Avoids servers that have gone silent, ends idle connections and forgets servers that are gone. */
    void tick() {
        long now = clock.millis();
        // After a pause of this process, what the servers said meanwhile is still to be read.
        boolean punctual = now - lastTickMs <= LONGEST_TICK_MS;
        lastTickMs = now;
        if (punctual) {
            links.values().stream().filter(ServerLink::isSilent).toList().forEach(this::silent);
        }
        for (Iterator<ServerLink> i = links.values().iterator(); i.hasNext(); ) {
            ServerLink link = i.next();
            link.trim();
            boolean listed = blackboard.servers(link.server().service()).stream()
                    .anyMatch(s -> s.id().equals(link.server().id()));
            if (!listed && link.outstanding() == 0) {
                link.remove();
                i.remove();
            } else if (!listed) {
                link.closeIdle();
            }
        }
    }

    private void silent(ServerLink link) {
        if (!suspended.contains(link.server().id())) {
            String path = blackboard
                    .config()
                    .flatMap(c -> c.service(link.server().service()))
                    .map(ServiceSpec::healthPath)
                    .orElse("/");
            suspend(link, path, "silent with " + link.outstanding() + " requests");
        }
        link.reportSilence();
    }

    int connections() {
        return links.values().stream().mapToInt(ServerLink::connections).sum();
    }

    int suspendedCount() {
        return suspended.size();
    }

    /** Asks a suspended server whether it is well. */
    private final class HealthCheck implements ServerLink.Listener, OutboundListener {
        private final ServerLink link;
        private final String path;
        private @Nullable OutboundConnection connection;
        private boolean done;
        private int status;
        private String answeredBy = "";

        HealthCheck(ServerLink link, String path) {
            this.link = link;
            this.path = path;
        }

        @Override
        public void onConnection(OutboundConnection c, boolean reused) {
            if (done) {
                link.discard(c);
                return;
            }
            connection = c;
            List<Header> headers = List.of(new Header("Host", link.server().address()));
            c.send(new OutboundRequest("GET", path, headers, new byte[0]), this);
        }

        @Override
        public void onNone(String reason) {
            finish(false, reason);
        }

        @Override
        public void onHead(int answerStatus, List<Header> headers) {
            status = answerStatus;
            answeredBy = Header.find(headers, Wire.SERVER_ID).orElse("");
        }

        @Override
        public void onData(byte[] part) {
            // Only the status counts.
        }

        @Override
        public void onEnd(boolean reusable) {
            // The address of a server that has ended may already belong to another one.
            boolean other =
                    !answeredBy.isEmpty() && !answeredBy.equals(link.server().id());
            finish(status == OK && !other, other ? "answered by " + answeredBy : "status " + status);
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
                link.discard(connection);
            }
            String id = link.server().id();
            if (healthy) {
                suspended.remove(id);
                log.event("server-resumed").field("server", id).write();
                timers.after(MAX_SUSPENSION_MS, () -> {
                    if (!suspended.contains(id)) {
                        suspensions.remove(id);
                    }
                });
            } else {
                log.event("server-check-failed")
                        .field("server", id)
                        .field("reason", reason)
                        .write();
                checkLater(link, path, suspensions.merge(id, 1, Integer::sum));
            }
        }
    }
}
