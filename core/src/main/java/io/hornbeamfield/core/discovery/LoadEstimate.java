package io.hornbeamfield.core.discovery;

import java.time.Clock;

/**
 * Estimates the load of this instance as a share of its capacity, from its processor time and the requests in progress.
 * Smoothed over about two seconds, because processor time comes in bursts of compilation and collection.
 */
public final class LoadEstimate {
    private static final double SMOOTHING_MS = 2_000;

    /**
     * Requests in progress per standard core that count as full. The engines of the largest deployment hold 4,704
     * requests, 65 per core of its instances; six times as many are an outlier.
     */
    private static final double REQUESTS_PER_CORE = 400;

    private final Clock clock;
    private final double maxLimit;
    private final double capacity;
    private long updatedMs;
    private long processorNanos = -1;
    private double used;
    private double limit;

    /**
     * Creates an estimate.
     *
     * @param processorShare processor time that this instance may use in a second, in seconds
     * @param capacity processing capacity in standard cores, 0 if unknown
     */
    public LoadEstimate(Clock clock, double processorShare, double capacity) {
        this.clock = clock;
        this.capacity = capacity > 0 ? capacity : processorShare;
        maxLimit = Math.max(processorShare, this.capacity);
        limit = processorShare;
        updatedMs = clock.millis();
    }

    /**
     * Returns the load.
     *
     * @param totalProcessorNanos processor time that the process has used since its start
     * @param openRequests number of requests in progress
     */
    public double update(long totalProcessorNanos, int openRequests) {
        long now = clock.millis();
        long elapsedMs = now - updatedMs;
        if (processorNanos >= 0 && elapsedMs > 0) {
            double perSecond = (totalProcessorNanos - processorNanos) / (elapsedMs * 1e6);
            used += (perSecond - used) * (1 - Math.exp(-elapsedMs / SMOOTHING_MS));
            // Where several cores are shared, the share is one of all of them and more than it can be used.
            limit = Math.max(limit, Math.min(maxLimit, used));
        }
        processorNanos = totalProcessorNanos;
        updatedMs = now;
        return Math.max(used / limit, openRequests / (capacity * REQUESTS_PER_CORE));
    }
}
