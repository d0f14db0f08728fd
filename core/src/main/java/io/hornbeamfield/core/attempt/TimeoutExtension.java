package io.hornbeamfield.core.attempt;

/**
 * Extends a timeout for input that is handled late. The process was held up then, and the input may have arrived in
 * time and wait to be read.
 */
public final class TimeoutExtension {
    /** Timers of a process that is not held up are handled within this time. */
    private static final long TOLERANCE_MS = 20;

    private static final long MAX_MS = 250;

    private TimeoutExtension() {}

    /**
     * Returns the time in milliseconds by which a timeout is extended that was due and is handled at the given times.
     */
    public static long ms(long dueMs, long handledMs) {
        long lateMs = handledMs - dueMs;
        return lateMs <= TOLERANCE_MS ? 0 : Math.min(lateMs, MAX_MS);
    }
}
