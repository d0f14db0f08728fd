package io.hornbeamfield.core.placement;

import java.time.Clock;
import java.util.random.RandomGenerator;

/**
 * This instance's share of the request rate that a backend server has announced for all instances together. Instances
 * cannot coordinate during a partition, so each one uses an equal part of the rate. Requests are paced, since the parts
 * of many instances add up to a burst if each of them sends at once; for the same reason the first request waits for a
 * random part of the interval. Not thread-safe.
 *
 * <pre>{@code
 * share.announced(OptionalDouble.of(5.5), instances, random);
 * if (share.delayMs() == 0) {
 *     share.requestSent(instances);
 * }
 * }</pre>
 */
public final class ServerRateShare {
    /** Answers overtake each other; one without a rate ends the limit only if it comes this long after the last. */
    private static final long WITHDRAWAL_MS = 1_000;

    /** The lowest rate of one instance; without any request it would never see that the limit has ended. */
    private static final double MIN_PER_SECOND = 1.0 / 60;

    private static final double MS_PER_SECOND = 1_000;

    private final Clock clock;
    private double perSecond;
    private boolean limited;
    private long announcedMs;
    private long nextMs;

    public ServerRateShare(Clock clock) {
        this.clock = clock;
    }

    /**
     * Records the rate that an answer of the server announces and returns whether the limit has changed.
     *
     * @param limited whether the answer announces a rate
     * @param totalPerSecond requests per second of all instances
     */
    public boolean announced(boolean limited, double totalPerSecond, int instances, RandomGenerator random) {
        long now = clock.millis();
        if (!limited) {
            boolean ended = this.limited && now - announcedMs >= WITHDRAWAL_MS;
            this.limited &= !ended;
            return ended;
        }
        boolean first = !this.limited;
        boolean changed = first || perSecond != totalPerSecond;
        this.limited = true;
        perSecond = totalPerSecond;
        announcedMs = now;
        if (first) {
            nextMs = now + (long) (intervalMs(instances) * random.nextDouble());
        }
        return changed;
    }

    /** Records a request to the server. */
    public void requestSent(int instances) {
        if (limited) {
            nextMs = Math.max(nextMs, clock.millis()) + intervalMs(instances);
        }
    }

    private long intervalMs(int instances) {
        return (long) (MS_PER_SECOND / Math.max(MIN_PER_SECOND, perSecond / Math.max(1, instances)));
    }

    /** Returns the time until this instance may send the next request, 0 if it may send one now. */
    public long delayMs() {
        return limited ? Math.max(0, nextMs - clock.millis()) : 0;
    }

    /** Returns the announced rate of all instances per second. */
    public double perSecond() {
        return perSecond;
    }

    /** Returns whether the server limits its rate. */
    public boolean isLimited() {
        return limited;
    }
}
