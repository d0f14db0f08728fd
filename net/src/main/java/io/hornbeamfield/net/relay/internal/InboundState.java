package io.hornbeamfield.net.relay.internal;

import io.hornbeamfield.core.admission.ArrivalEstimate;
import io.hornbeamfield.core.admission.InputTimeout;
import io.hornbeamfield.core.time.MonotonicClock;
import io.hornbeamfield.net.relay.InboundLimits;
import io.hornbeamfield.net.relay.Serial;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.jspecify.annotations.Nullable;

/** State of a client connection: its requests in the order of their answers, and how long it has waited for input. */
final class InboundState {
    /** Bounds the objects that one read can create. */
    private static final int MAX_WAITING = 64;

    /** Bounds what one caller keeps of the memory for requests of all callers. */
    private static final int MAX_WAITING_BYTES = 512 * 1024;

    /** Bounds how long a caller that sends without end delays its own request. */
    private static final int MAX_PENDING_READS = 8;

    private final Connection<?> connection;
    private final Supplier<InboundLimits> limits;
    private final Serial serial;
    private final ArrivalEstimate estimate;
    private final ArrivalEstimate.Accepted accepted;
    private final InputTimeout timeout = new InputTimeout(MonotonicClock.start());
    private final AtomicLong unsent = new AtomicLong();
    private final UnsentAnswers.OfConnection unsentAnswers;
    /** Pipelined requests, which are answered after the current one. */
    private final Deque<GrizzlyInboundRequest> waiting = new ArrayDeque<>();

    private @Nullable GrizzlyInboundRequest current;
    private int waitingBytes;
    private long reads;
    private volatile boolean readingStopped;
    private boolean checkPending;
    private boolean headBegun;
    private long inputArrivedMs;

    /** Creates the state of a connection; all calls other than those that say so run under the serial. */
    InboundState(
            Connection<?> connection,
            Supplier<InboundLimits> limits,
            Serial serial,
            ArrivalEstimate estimate,
            ArrivalEstimate.Accepted accepted,
            UnsentAnswers unsentAnswers) {
        this.connection = connection;
        this.limits = limits;
        this.serial = serial;
        this.estimate = estimate;
        this.accepted = accepted;
        this.unsentAnswers = unsentAnswers.add(this);
    }

    @Nullable
    GrizzlyInboundRequest current() {
        return current;
    }

    void bytesReceived() {
        reads++;
        if (!headBegun) {
            headBegun = true;
            inputArrivedMs = accepted.inputArrivedMs();
        }
        if (isFree()) {
            timeout.headReceived();
        } else {
            timeout.active();
        }
    }

    /** Records that what was received is a part of a request that has been parsed. */
    void inputParsed() {
        headBegun = false;
    }

    /** Returns the estimated arrival of the request of which a head or a part is being handled. */
    long inputArrivedMs() {
        return inputArrivedMs;
    }

    /** Returns the time since an estimated arrival. */
    long elapsedMs(long arrivedMs) {
        return estimate.elapsedMs(arrivedMs);
    }

    private boolean isFree() {
        return current == null && waiting.isEmpty();
    }

    /** Returns the request whose body is being received, or the last one if there is none. */
    @Nullable
    GrizzlyInboundRequest last() {
        return waiting.isEmpty() ? current : waiting.getLast();
    }

    /** Adds a request. Returns false if too many wait; the connection is closed once these are answered. */
    boolean add(GrizzlyInboundRequest request) {
        timeout.headEnded();
        if (isFree()) {
            current = request;
        } else if (waiting.size() < MAX_WAITING && waitingBytes <= MAX_WAITING_BYTES) {
            waiting.add(request);
        } else {
            stopReading();
            waiting.getLast().closeInAnyCase();
            return false;
        }
        return true;
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** Records bytes of a request that waits. */
    void waitingGrown(int bytes) {
        waitingBytes += bytes;
    }

    /** Discards further input, because the connection is about to be closed. */
    void stopReading() {
        readingStopped = true;
    }

    boolean isReadingStopped() {
        return readingStopped;
    }

    /**
     * Discards further input and closes the connection once its requests are answered. Returns false if there are none.
     * Callable from any thread.
     */
    boolean closeAfterPending() {
        boolean[] pending = new boolean[1];
        serial.run(() -> {
            GrizzlyInboundRequest request = last();
            if (request != null) {
                stopReading();
                request.closeInAnyCase();
                pending[0] = true;
            }
        });
        return pending[0];
    }

    /** Ends the current request and begins the next one, if there is one. */
    void requestFinished(Consumer<GrizzlyInboundRequest> begin) {
        unsentAnswers.grown();
        current = null;
        timeout.headEnded();
        timeout.active();
        if (hasWaiting()) {
            inReadingThread(() -> beginNext(begin));
        }
    }

    private void beginNext(Consumer<GrizzlyInboundRequest> begin) {
        GrizzlyInboundRequest next = current == null ? waiting.poll() : null;
        if (next == null) {
            return;
        }
        current = next;
        if (waiting.isEmpty()) {
            waitingBytes = 0;
        }
        begin.accept(next);
    }

    /** Discards the requests that wait and further input, because the connection is about to be closed. */
    void discardInput() {
        stopReading();
        waiting.forEach(GrizzlyInboundRequest::connectionClosed);
        waiting.clear();
    }

    /** Reports to all requests that the connection has been closed. */
    void connectionClosed() {
        unsentAnswers.remove();
        discardInput();
        GrizzlyInboundRequest request = current;
        if (request != null) {
            request.connectionClosed();
        }
    }

    /** Closes the connection without its unsent bytes. */
    void terminate() {
        connection.terminateSilently();
    }

    /** Records bytes of a response that are queued. Callable from any thread. */
    void queued(int bytes) {
        if (unsent.getAndAdd(bytes) == 0) {
            unsentAnswers.begun();
        }
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
        return isFree() && !timeout.isHeadStarted() && unsent.get() == 0;
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
        if (hasWaiting() || (request != null && request.isComplete())) {
            return false;
        }
        if (request == null && unsent.get() > 0) {
            // The caller is idle only once it can have its answer.
            timeout.active();
        }
        InboundLimits l = limits.get();
        return timeout.hasElapsed(l.headerTimeoutMs(), l.idleTimeoutMs());
    }

    /**
     * Runs an action on the reading thread after the input that has arrived so far, or the end of the connection behind
     * it, has been read. Callable from any thread.
     */
    void afterPendingInput(Runnable action) {
        inReadingThread(() -> {
            readPending();
            action.run();
        });
    }

    private void readPending() {
        long before = -1;
        for (int i = 0; i < MAX_PENDING_READS && reads != before && connection.isOpen(); i++) {
            before = reads;
            read();
        }
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
