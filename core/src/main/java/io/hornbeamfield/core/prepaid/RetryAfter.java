package io.hornbeamfield.core.prepaid;

import java.util.random.RandomGenerator;

/**
 * Computes the retry delay for a caller that is refused because the instance cannot take tokens from the store.
 *
 * <p>Distinguishes two failures. If all instances lose the store, for up to 9 s, callers that retry early are refused
 * again. If only this instance is partitioned, any other instance serves the caller at once.
 */
public final class RetryAfter {
    /** Expected duration of an outage or partition; they last from 4 to 9 s. */
    private static final long EXPECTED_OUTAGE_MS = 8_000;

    /** Callers wait at most a third of the time that is left to them: 5 s of the longest deadline, 15 s. */
    private static final long MAX_DELAY_MS = 5_000;

    /** Shortest delay during an outage; one that lasts longer than expected may end at any moment. */
    private static final long MIN_DELAY_MS = 1_500;

    /** Delay if another instance can serve the caller: the time to find its address. */
    private static final long OTHER_INSTANCE_DELAY_MS = 100;

    /** Jitter as a share of the delay; spreads the retries of callers that were refused together. */
    private static final double JITTER = 0.3;

    private RetryAfter() {}

    /**
     * Returns the delay with jitter.
     *
     * @param storeUnreachableMs time for which the store has not answered this instance
     * @param linked number of other instances that this one is connected to
     * @param known number of other instances that are registered
     */
    public static long delayMs(long storeUnreachableMs, int linked, int known, RandomGenerator random) {
        boolean partitioned = 2 * linked < known;
        long remaining = EXPECTED_OUTAGE_MS - storeUnreachableMs;
        long base = partitioned ? OTHER_INSTANCE_DELAY_MS : Math.max(MIN_DELAY_MS, Math.min(MAX_DELAY_MS, remaining));
        return (long) (base * (1 + JITTER * random.nextDouble()));
    }
}
