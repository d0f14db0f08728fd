package io.hornbeamfield.router.control.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.core.config.Server;
import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.routing.BackendView;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;

/**
 * The state of one backend server as this router knows it: the last load report and the requests that this router sent
 * to it. Thread-safe.
 */
final class ServerEntry {
    private final String id;
    private final Server server;
    private int running;
    private int waiting;
    private int sentSinceReport;
    private int finishedSinceReport;
    private int outstanding;
    private Set<String> models = Set.of();
    private ServerState reportedState = ServerState.LIVE;
    private boolean hasReport;
    private long startedAtMs;
    private Instant suspendedUntil = Instant.MIN;
    private Instant lastUsedAt;
    /** Start times of the last load and event calls; confined to the control thread. */
    Instant loadRequestedAt = Instant.MIN;

    Instant eventsRequestedAt = Instant.MIN;
    /** Whether the last load call failed; confined to the control thread. */
    boolean loadFailing;
    /** Sequence number of the last cache event that was read; confined to the control thread. */
    long lastEventSequence;
    /** Whether a load or event call is in flight; confined to the control thread. */
    boolean loadInFlight;

    boolean eventsInFlight;

    ServerEntry(String id, Server server, Instant now) {
        this.id = id;
        this.lastUsedAt = now;
        this.server = server;
    }

    String address() {
        return server.address();
    }

    synchronized void updateLoad(JsonNode load) {
        running = load.path("running").asInt();
        waiting = load.path("waiting").asInt();
        startedAtMs = load.path("startedAtMs").asLong();
        Set<String> loaded = new HashSet<>();
        load.path("models").forEach(m -> loaded.add(m.asText()));
        models = Set.copyOf(loaded);
        reportedState = load.path("state").asText().equals("leaving") ? ServerState.LEAVING : ServerState.LIVE;
        hasReport = true;
        sentSinceReport = 0;
        finishedSinceReport = 0;
    }

    /** Returns the start of this incarnation of the server in Unix milliseconds, 0 if unknown. */
    synchronized long startedAtMs() {
        return startedAtMs;
    }

    synchronized void sent(Instant now) {
        lastUsedAt = now;
        sentSinceReport++;
        outstanding++;
    }

    synchronized void finished() {
        finishedSinceReport++;
        outstanding = Math.max(0, outstanding - 1);
    }

    /** Returns whether a request of this router is outstanding or was sent at or after the given time. */
    synchronized boolean isUsedSince(Instant start) {
        return outstanding > 0 || !lastUsedAt.isBefore(start);
    }

    synchronized void suspendUntil(Instant end) {
        suspendedUntil = end;
    }

    synchronized boolean reportsLeaving() {
        return reportedState == ServerState.LEAVING;
    }

    /** Returns whether the server has reported its models without the given one. */
    synchronized boolean lacks(String model) {
        return hasReport && !models.contains(model);
    }

    synchronized boolean has(String model) {
        return models.contains(model);
    }

    synchronized BackendView view(Instant now) {
        return new BackendView(
                id,
                server.address(),
                server.zone(),
                reportedState,
                now.isBefore(suspendedUntil),
                running,
                waiting,
                sentSinceReport,
                finishedSinceReport,
                outstanding,
                models);
    }
}
