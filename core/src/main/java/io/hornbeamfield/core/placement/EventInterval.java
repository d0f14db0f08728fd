package io.hornbeamfield.core.placement;

/**
 * The usual time between two events of this instance's streams at one engine. It grows with the load that all instances
 * put on the engine, without a call to it. Not thread-safe.
 *
 * <pre>{@code
 * interval.record(24);
 * double ms = interval.meanMs();
 * }</pre>
 */
public final class EventInterval {
    /** Forgets a change of the load after some ten events, about a second of one stream. */
    private static final double WEIGHT = 0.1;

    private double meanMs;

    /** Records the time between two events. */
    public void record(long ms) {
        meanMs += WEIGHT * (ms - meanMs);
    }

    /** Returns the mean, 0 before the first event. */
    public double meanMs() {
        return meanMs;
    }
}
