package io.hornbeamfield.core.attempt;

/**
 * Time without a whole event after which a stream that has started is resumed at another backend server, if its route
 * allows that. Bytes that complete no event do not count, so a server that sends a byte now and then cannot hold a
 * stream for ever.
 */
public final class StallTimeout {
    /** Callers wait at least this long for the next event. */
    private static final long MIN_CALLER_TIMEOUT_MS = 2_000;

    /** Multiple of the latency objective for which callers wait. */
    private static final long OBJECTIVES = 4;

    /** Multiple of the declared pause between events for which callers wait. */
    private static final long PAUSES = 8;

    /** The other half of the callers' timeout is left to the server that resumes the stream. */
    private static final long SHARE_OF_CALLER_TIMEOUT = 2;

    private StallTimeout() {}

    /** Returns the timeout in milliseconds of a route with the given latency objective and declared pause. */
    public static long ms(long objectiveMs, long eventPauseMs) {
        long callerTimeoutMs =
                Math.max(MIN_CALLER_TIMEOUT_MS, Math.max(OBJECTIVES * objectiveMs, PAUSES * eventPauseMs));
        return callerTimeoutMs / SHARE_OF_CALLER_TIMEOUT;
    }
}
