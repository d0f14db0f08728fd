package io.hornbeamfield.core.discovery;

import java.time.Clock;

/**
 * Estimates the used share of this instance's link, in the direction that is used more, smoothed over about two
 * seconds. A full link delays the answers of the store behind the bytes of callers, and callers that are refused
 * because servers seem unreachable send their requests again, which keeps the link full. Not thread-safe, except for
 * {@link #isFull}.
 *
 * <p>Answers the load of callers of one workspace that stay with one instance: 180 to 220 requests a second, nearly all
 * of them refused, on a link of 10 Mbit/s.
 *
 * <pre>{@code
 * LinkUse use = new LinkUse(clock, 10);
 * double share = use.update(receivedBytes, sentBytes);
 * }</pre>
 */
public final class LinkUse {
    private static final double SMOOTHING_MS = 2_000;
    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MS_PER_MBPS = 1_000;

    private static final double FULL = 0.85;
    private static final double NOT_FULL = 0.7;

    private final Clock clock;
    private final double linkMbps;
    private long updatedMs;
    private long receivedBytes;
    private long sentBytes;
    private double received;
    private double sent;
    private volatile boolean full;

    /**
     * Creates an estimate.
     *
     * @param linkMbps bandwidth of the link in each direction; 0 if unknown, so that no share of it counts as used
     */
    public LinkUse(Clock clock, double linkMbps) {
        this.clock = clock;
        this.linkMbps = linkMbps;
        updatedMs = clock.millis();
    }

    /**
     * Returns the used share.
     *
     * @param totalReceivedBytes bytes received since the start of the process
     * @param totalSentBytes bytes sent since the start of the process
     */
    public double update(long totalReceivedBytes, long totalSentBytes) {
        long now = clock.millis();
        long elapsedMs = now - updatedMs;
        if (linkMbps > 0 && elapsedMs > 0) {
            double weight = 1 - Math.exp(-elapsedMs / SMOOTHING_MS);
            received += (share(totalReceivedBytes - receivedBytes, elapsedMs) - received) * weight;
            sent += (share(totalSentBytes - sentBytes, elapsedMs) - sent) * weight;
            full = share() >= (full ? NOT_FULL : FULL);
        }
        updatedMs = now;
        receivedBytes = totalReceivedBytes;
        sentBytes = totalSentBytes;
        return share();
    }

    private double share(long bytes, long elapsedMs) {
        // More than the link carries shows a wrong declaration, and must not delay the end of the estimate.
        return Math.min(1, bytes * BITS_PER_BYTE / (elapsedMs * linkMbps * BITS_PER_MS_PER_MBPS));
    }

    /** Returns the last estimate. */
    public double share() {
        return Math.max(received, sent);
    }

    /** Returns whether the link is about full, until a considerable part of it is free again. */
    public boolean isFull() {
        return full;
    }
}
