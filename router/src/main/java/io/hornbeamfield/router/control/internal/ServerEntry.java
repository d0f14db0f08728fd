package io.hornbeamfield.router.control.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.core.config.Server;
import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.routing.BackendView;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;

/** What is known about one backend server: its last load report and the requests of this router. Thread-safe. */
final class ServerEntry {
    private final String id;
    private final Server server;
    private int running;
    private int waiting;
    private int sent;
    private int finished;
    private int outstanding;
    private Set<String> models = Set.of();
    private ServerState reported = ServerState.LIVE;
    private boolean reportSeen;
    private Instant suspendedUntil = Instant.MIN;
    private Instant usedAt;
    /** When the last load and event calls started; used on the control thread only. */
    Instant loadAskedAt = Instant.MIN;

    Instant eventsAskedAt = Instant.MIN;
    /** Whether the last load call failed; used on the control thread only. */
    boolean failing;
    /** Number of the last cache event that was read; used on the control thread only. */
    long eventsRead;
    /** Whether a load or event call is on its way; used on the control thread only. */
    boolean loadAsked;

    boolean eventsAsked;

    ServerEntry(String id, Server server, Instant now) {
        this.id = id;
        this.usedAt = now;
        this.server = server;
    }

    String address() {
        return server.address();
    }

    synchronized void reported(JsonNode load) {
        running = load.path("running").asInt();
        waiting = load.path("waiting").asInt();
        Set<String> loaded = new HashSet<>();
        load.path("models").forEach(m -> loaded.add(m.asText()));
        models = Set.copyOf(loaded);
        reported = load.path("state").asText().equals("leaving") ? ServerState.LEAVING : ServerState.LIVE;
        reportSeen = true;
        sent = 0;
        finished = 0;
    }

    synchronized void sent(Instant now) {
        usedAt = now;
        sent++;
        outstanding++;
    }

    synchronized void finished() {
        finished++;
        outstanding = Math.max(0, outstanding - 1);
    }

    /** Returns whether this router has a request there or had one since the given time. */
    synchronized boolean isUsedSince(Instant start) {
        return outstanding > 0 || !usedAt.isBefore(start);
    }

    synchronized void suspendUntil(Instant end) {
        suspendedUntil = end;
    }

    synchronized boolean saysLeaving() {
        return reported == ServerState.LEAVING;
    }

    /** Returns whether the server has reported its models and the given one is not among them. */
    synchronized boolean lacks(String model) {
        return reportSeen && !models.contains(model);
    }

    synchronized boolean has(String model) {
        return models.contains(model);
    }

    synchronized BackendView view(Instant now) {
        return new BackendView(
                id,
                server.address(),
                server.zone(),
                reported,
                now.isBefore(suspendedUntil),
                running,
                waiting,
                sent,
                finished,
                outstanding,
                models);
    }
}
