package io.hornbeamfield.net.relay.internal;

import io.hornbeamfield.net.relay.InboundLimits;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.jspecify.annotations.Nullable;

/** State of a client connection: the request in progress and the times from which the header and idle timeouts run. */
final class InboundState {
    private final Connection<?> connection;
    private final Supplier<InboundLimits> limits;
    private final AtomicLong unsent = new AtomicLong();
    private @Nullable GrizzlyInboundRequest current;
    private boolean headStarted;
    private boolean readingStopped;
    private long headStartedNanos;
    private long idleSinceNanos = System.nanoTime();

    InboundState(Connection<?> connection, Supplier<InboundLimits> limits) {
        this.connection = connection;
        this.limits = limits;
    }

    @Nullable
    GrizzlyInboundRequest current() {
        return current;
    }

    void bytesReceived() {
        idleSinceNanos = System.nanoTime();
        if (current == null && !headStarted) {
            headStarted = true;
            headStartedNanos = idleSinceNanos;
        }
    }

    void requestStarted(GrizzlyInboundRequest request) {
        current = request;
        headStarted = false;
    }

    /** Discards further input, because the connection is about to be closed. */
    void stopReading() {
        readingStopped = true;
    }

    boolean isReadingStopped() {
        return readingStopped;
    }

    void requestFinished() {
        current = null;
        headStarted = false;
        idleSinceNanos = System.nanoTime();
    }

    /** Returns the number of response bytes that are queued but not yet written to the socket. */
    AtomicLong unsent() {
        return unsent;
    }

    void inReadingThread(Runnable action) {
        connection.executeInEventThread(IOEvent.READ, action);
    }

    void closeIfIdle() {
        if (current == null && !headStarted && unsent.get() == 0) {
            connection.closeSilently();
        }
    }

    void closeIfTimedOut(long nowNanos) {
        GrizzlyInboundRequest request = current;
        boolean awaitsInput = request == null || !request.isComplete();
        boolean idleTimedOut =
                awaitsInput && hasElapsed(idleSinceNanos, limits.get().idleTimeoutMs(), nowNanos);
        boolean headerTimedOut = request == null
                && headStarted
                && hasElapsed(headStartedNanos, limits.get().headerTimeoutMs(), nowNanos);
        if (idleTimedOut || headerTimedOut) {
            connection.closeSilently();
        }
    }

    private static boolean hasElapsed(long sinceNanos, long limitMs, long nowNanos) {
        return nowNanos - sinceNanos > TimeUnit.MILLISECONDS.toNanos(limitMs);
    }
}
