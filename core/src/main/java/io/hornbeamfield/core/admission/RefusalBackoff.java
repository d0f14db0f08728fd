package io.hornbeamfield.core.admission;

import java.time.Clock;
import java.util.random.RandomGenerator;

/**
 * Computes the retry delay for callers that are refused because no backend server of a service can take their request.
 * Not thread-safe.
 *
 * <p>Designed for bursts of several times the capacity that last for seconds, with callers that return only once: a
 * caller that returns while the burst lasts is refused for good. An overload that has lasted for some time is expected
 * to last as long again, so the delay grows with it, and callers that were refused together return spread over time.
 *
 * <pre>{@code
 * long delayMs = backoff.delayMs(remainingMs, 0, random);
 * }</pre>
 */
public final class RefusalBackoff {
    /** A place at a server may become free within this time. */
    private static final long MIN_DELAY_MS = 250;

    /** Without a refusal for this time, the overload has ended. */
    private static final long OVERLOAD_GAP_MS = 500;

    /** Callers honour a delay up to this share of the time that they have left. */
    private static final long SHARE_OF_REMAINING = 3;

    /** Share of the delay over which the returns are spread. */
    private static final double JITTER = 0.5;

    private final Clock clock;
    private long overloadStartedMs;
    private long lastRefusalMs = Long.MIN_VALUE / 2;

    public RefusalBackoff(Clock clock) {
        this.clock = clock;
    }

    /**
     * Records a refusal and returns the delay after which its caller should return, in milliseconds.
     *
     * @param remainingMs time until the deadline of the request
     * @param earliestMs time until a server takes requests again, 0 if one takes them now or it is not known
     */
    public long delayMs(long remainingMs, long earliestMs, RandomGenerator random) {
        long now = clock.millis();
        if (now - lastRefusalMs > OVERLOAD_GAP_MS) {
            overloadStartedMs = now;
        }
        lastRefusalMs = now;
        long expectedMs = Math.max(MIN_DELAY_MS, now - overloadStartedMs);
        long limitMs = Math.max(1, remainingMs / SHARE_OF_REMAINING);
        double spread = 1 - JITTER * random.nextDouble();
        long delayMs = Math.max(1, (long) (Math.min(expectedMs / (1 - JITTER), limitMs) * spread));
        // The servers' own time is not shortened, and the returns after it are spread by the delay.
        return earliestMs + delayMs;
    }
}
