package io.hornbeamfield.core.attempt;

import java.time.Clock;
import java.util.Arrays;

/**
 * This instance's share of a fleet-wide retry limit. In any window, the retries of all instances together may not
 * exceed a ratio of the requests plus a fixed slack. Instances cannot coordinate during a partition, so each one uses
 * the ratio of its own requests and an equal part of the slack. Not thread-safe.
 *
 * <pre>{@code
 * share.requestArrived();
 * if (share.tryRetry(instances)) { ... }
 * }</pre>
 */
public final class RetryShare {
    private static final int BUCKETS_PER_WINDOW = 10;

    /** Share of the limit that is used; leaves room for retries that backend servers finish in the next window. */
    private static final double SAFETY_FACTOR = 0.8;

    private final Clock clock;
    private double ratio;
    private double slack;
    private long bucketMs;
    private final int[] requests = new int[BUCKETS_PER_WINDOW + 1];
    private final int[] retries = new int[BUCKETS_PER_WINDOW + 1];
    private long currentBucket;

    /** Creates a share of the limit {@code ratio * requests + slack} in any window of the given length. */
    public RetryShare(Clock clock, double ratio, double slack, long windowMs) {
        this.clock = clock;
        this.ratio = ratio;
        this.slack = slack;
        this.bucketMs = bucketMs(windowMs);
        this.currentBucket = clock.millis() / bucketMs;
    }

    private static long bucketMs(long windowMs) {
        return Math.max(1, windowMs / BUCKETS_PER_WINDOW);
    }

    /**
     * Changes the limit. If the window changes, all retries so far count as made now and all requests so far are
     * discarded, so that neither the old nor the new limit is exceeded.
     */
    public void updateLimit(double newRatio, double newSlack, long windowMs) {
        ratio = newRatio;
        slack = newSlack;
        long newBucketMs = bucketMs(windowMs);
        if (newBucketMs != bucketMs) {
            currentIndex();
            int retriesSoFar = sum(retries);
            Arrays.fill(requests, 0);
            Arrays.fill(retries, 0);
            bucketMs = newBucketMs;
            currentBucket = clock.millis() / bucketMs;
            retries[(int) (currentBucket % retries.length)] = retriesSoFar;
        }
    }

    /** Counts a request from a caller. */
    public void requestArrived() {
        requests[currentIndex()]++;
    }

    /** Returns whether another retry is within the limit, and counts it if so. */
    public boolean tryRetry(int instances) {
        boolean allowed = mayRetry(instances);
        retries[currentIndex()] += allowed ? 1 : 0;
        return allowed;
    }

    /** Returns whether another retry is within the limit, without counting it. */
    public boolean mayRetry(int instances) {
        currentIndex();
        double allowed = SAFETY_FACTOR * (ratio * sum(requests) + slack / Math.max(1, instances));
        return sum(retries) + 1 <= allowed;
    }

    /** Clears the buckets that have left the window and returns the index of the current bucket. */
    private int currentIndex() {
        long now = clock.millis() / bucketMs;
        long first = Math.max(currentBucket + 1, now - BUCKETS_PER_WINDOW);
        for (long b = first; b <= now; b++) {
            int i = (int) (b % requests.length);
            requests[i] = 0;
            retries[i] = 0;
        }
        currentBucket = Math.max(currentBucket, now);
        return (int) (currentBucket % requests.length);
    }

    private static int sum(int[] buckets) {
        int total = 0;
        for (int b : buckets) {
            total += b;
        }
        return total;
    }
}
