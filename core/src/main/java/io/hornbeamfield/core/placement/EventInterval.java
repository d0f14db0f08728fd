package io.hornbeamfield.core.placement;

/**
 * Moving average of the time between two events of this instance's streams from one engine. It reflects the load of all
 * instances on the engine without a request to it. Not thread-safe.
 *
 * <pre>{@code
 * interval.record(24);
 * double ms = interval.meanMs();
 * }</pre>
 */
public final class EventInterval {
    /** Weight of a new sample; the average follows a change of load within ten events, about 1 s of one stream. */
    private static final double WEIGHT = 0.1;

    private double meanMs;

    /** Records the time between two events in milliseconds. */
    public void record(long ms) {
        meanMs += WEIGHT * (ms - meanMs);
    }

    /** Returns the moving average in milliseconds, 0 before the first sample. */
    public double meanMs() {
        return meanMs;
    }
}
