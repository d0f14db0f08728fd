package io.hornbeamfield.core.admission;

import java.time.Clock;

/**
 * Estimates when input arrived that a thread reads from its sockets. The sockets do not tell; but input that is read
 * now had not arrived when the thread looked for input the time before. A thread that is held up looks seldom, and its
 * input is taken to be as old as it can be, less the time that input usually waits. One thread looks; others may ask
 * for the arrival of input.
 *
 * <pre>{@code
 * estimate.looking();            // before each selection
 * long ms = estimate.arrivedMs(); // for input that is read after it
 * }</pre>
 */
public final class ArrivalEstimate {
    /** Longest time between two looks of a thread that is not held up and has no input. */
    public static final long MAX_LOOK_INTERVAL_MS = 100;

    /** Two intervals, and the time to handle what is found. */
    private static final long USUAL_WAIT_MS = 250;

    private final Clock clock;
    private long lastLookMs;
    private volatile long previousLookMs;
    private long looks;

    public ArrivalEstimate(Clock clock) {
        this.clock = clock;
        this.lastLookMs = clock.millis();
        this.previousLookMs = lastLookMs;
    }

    /** Records that the thread looks for input from now on. */
    public void looking() {
        previousLookMs = lastLookMs;
        lastLookMs = clock.millis();
        looks++;
    }

    /** Returns the time at which input arrived that is read now. */
    public long arrivedMs() {
        return earliest(previousLookMs);
    }

    /** Returns the time since a time that this estimate has returned. */
    public long elapsedMs(long sinceMs) {
        return clock.millis() - sinceMs;
    }

    private long earliest(long absentMs) {
        return Math.min(clock.millis(), absentMs + USUAL_WAIT_MS);
    }

    /** The connections of a listening socket that have not been accepted yet. */
    public final class Backlog {
        private long emptyMs = lastLookMs;
        private long accepted;

        /** Records whether the last look found a connection. */
        public void looked(boolean found) {
            if (!found) {
                emptyMs = lastLookMs;
            }
        }

        /** Returns the number of connections that were accepted. */
        public long accepted() {
            return accepted;
        }

        /** Records that a connection of the backlog is accepted. */
        public Accepted accept() {
            accepted++;
            return new Accepted(earliest(emptyMs), looks);
        }
    }

    /** A connection that was accepted. */
    public final class Accepted {
        private final long arrivedMs;
        private final long acceptedLooks;

        private Accepted(long arrivedMs, long acceptedLooks) {
            this.arrivedMs = arrivedMs;
            this.acceptedLooks = acceptedLooks;
        }

        /** Returns the time at which input of this connection arrived that is read now. */
        public long inputArrivedMs() {
            // What the first look finds may have arrived together with the connection.
            boolean first = looks <= acceptedLooks + 1;
            return first ? Math.min(arrivedMs, ArrivalEstimate.this.arrivedMs()) : ArrivalEstimate.this.arrivedMs();
        }
    }
}
