package io.hornbeamfield.core.attempt;

import java.time.Clock;
import java.util.Arrays;

/**
 * This instance's share of a fleet-wide retry limit: in each window the repeats of all instances together may be a
 * ratio of the requests and a fixed slack. Instances cannot ask each other during a partition, so each one spends the
 * ratio of its own requests and its part of the slack. Not thread-safe.
 *
 * <pre>{@code
 * share.requestArrived();
 * if (share.tryRetry(instances)) { ... }
 * }</pre>
 */
public final class RetryShare {
    private static final int BUCKETS_PER_WINDOW = 10;

    /** Leaves room for requests that end in the next window at the back end. */
    private static final double SAFETY = 0.8;

    private final Clock clock;
    private double ratio;
    private double slack;
    private long bucketMs;
    private final int[] requests = new int[BUCKETS_PER_WINDOW + 1];
    private final int[] repeats = new int[BUCKETS_PER_WINDOW + 1];
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
     * Changes the limit. With another window all repeats so far count as done now and no request does, so that neither
     * the old limit nor the new one is exceeded.
     */
    public void updateLimit(double newRatio, double newSlack, long windowMs) {
        ratio = newRatio;
        slack = newSlack;
        long newBucketMs = bucketMs(windowMs);
        if (newBucketMs != bucketMs) {
            index();
            int repeatsSoFar = sum(repeats);
            Arrays.fill(requests, 0);
            Arrays.fill(repeats, 0);
            bucketMs = newBucketMs;
            currentBucket = clock.millis() / bucketMs;
            repeats[(int) (currentBucket % repeats.length)] = repeatsSoFar;
        }
    }

    /** Counts a request of a caller. */
    public void requestArrived() {
        requests[index()]++;
    }

    /** Returns whether one more repeat fits, and counts it if so. */
    public boolean tryRetry(int instances) {
        boolean fits = mayRetry(instances);
        repeats[index()] += fits ? 1 : 0;
        return fits;
    }

    /** Returns whether one more repeat fits. */
    public boolean mayRetry(int instances) {
        index();
        double allowed = SAFETY * (ratio * sum(requests) + slack / Math.max(1, instances));
        return sum(repeats) + 1 <= allowed;
    }

    private int index() {
        long now = clock.millis() / bucketMs;
        long first = Math.max(currentBucket + 1, now - BUCKETS_PER_WINDOW);
        for (long b = first; b <= now; b++) {
            int i = (int) (b % requests.length);
            requests[i] = 0;
            repeats[i] = 0;
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
