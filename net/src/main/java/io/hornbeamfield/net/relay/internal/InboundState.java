package io.hornbeamfield.net.relay.internal;

import io.hornbeamfield.core.admission.InputTimeout;
import io.hornbeamfield.core.time.MonotonicClock;
import io.hornbeamfield.net.relay.InboundLimits;
import io.hornbeamfield.net.relay.Serial;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.jspecify.annotations.Nullable;

/** State of a client connection: the request in progress, and how long it has waited for input. */
final class InboundState {
    private final Connection<?> connection;
    private final Supplier<InboundLimits> limits;
    private final Serial serial;
    private final InputTimeout timeout = new InputTimeout(MonotonicClock.start());
    private final AtomicLong unsent = new AtomicLong();
    private @Nullable GrizzlyInboundRequest current;
    private long reads;
    private boolean readingStopped;
    private boolean checkPending;

    /** Creates the state of a connection; all calls other than those that say so run under the serial. */
    InboundState(Connection<?> connection, Supplier<InboundLimits> limits, Serial serial) {
        this.connection = connection;
        this.limits = limits;
        this.serial = serial;
    }

    @Nullable
    GrizzlyInboundRequest current() {
        return current;
    }

    void bytesReceived() {
        reads++;
        if (current == null) {
            timeout.headReceived();
        } else {
            timeout.active();
        }
    }

    void requestStarted(GrizzlyInboundRequest request) {
        current = request;
        timeout.headEnded();
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
        timeout.headEnded();
        timeout.active();
    }

    /** Returns the number of response bytes that are queued but not yet written to the socket. */
    AtomicLong unsent() {
        return unsent;
    }

    /**
     * Closes the connection if it has no part of a request and no unsent part of a response. Callable from any thread.
     */
    void closeIfIdle() {
        inReadingThread(() -> closeIf(this::isIdle));
    }

    private boolean isIdle() {
        return current == null && !timeout.isHeadStarted() && unsent.get() == 0;
    }

    /** Closes the connection if it has waited too long for input. */
    void closeIfTimedOut() {
        if (!checkPending && hasTimedOut()) {
            checkPending = true;
            inReadingThread(() -> {
                checkPending = false;
                closeIf(this::hasTimedOut);
            });
        }
    }

    private boolean hasTimedOut() {
        GrizzlyInboundRequest request = current;
        if (request != null && request.isComplete()) {
            return false;
        }
        if (request == null && unsent.get() > 0) {
            // The caller is idle only once it can have its answer.
            timeout.active();
        }
        InboundLimits l = limits.get();
        return timeout.hasElapsed(l.headerTimeoutMs(), l.idleTimeoutMs());
    }

    private void inReadingThread(Runnable action) {
        connection.executeInEventThread(IOEvent.READ, () -> serial.run(action));
    }

    /**
     * Closes the connection if the condition still holds when all input has been read that arrived before. The reading
     * thread or the whole process may have been held up for longer than the caller has been idle.
     */
    private void closeIf(BooleanSupplier condition) {
        while (!readingStopped && condition.getAsBoolean()) {
            long before = reads;
            read();
            if (reads == before) {
                stopReading();
                connection.closeSilently();
            }
        }
    }

    private void read() {
        try {
            connection.getTransport().getIOStrategy().executeIoEvent(connection, IOEvent.READ);
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot read from the connection " + connection + ".", e);
        }
    }
}
