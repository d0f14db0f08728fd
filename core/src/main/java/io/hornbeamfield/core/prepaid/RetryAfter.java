package io.hornbeamfield.core.prepaid;

import java.util.random.RandomGenerator;

/**
 * The delay after which a caller should retry when an instance cannot get its tokens from the store.
 *
 * <p>Answers two load patterns: all instances lose the store for up to nine seconds, where callers that retry early are
 * refused again; and one instance is cut off, where each other one serves its callers at once.
 */
public final class RetryAfter {
    /** Outages and partitions of today's deployments last from 4 to 9 s. */
    private static final long EXPECTED_OUTAGE_MS = 8_000;

    /** Callers wait a third of the time that they have left at most: 5 s of the longest deadline, 15 s. */
    private static final long LONGEST_MS = 5_000;

    /** An outage that lasts longer than expected may end at any moment. */
    private static final long SHORTEST_MS = 1_500;

    /** Time to find another address. */
    private static final long ELSEWHERE_MS = 100;

    /** Spreads the retries of callers that were refused together over this share of the delay. */
    private static final double SPREAD = 0.3;

    private RetryAfter() {}

    /**
     * Returns the delay.
     *
     * @param storeAwayMs how long the store has not answered this instance
     * @param linked other instances that this one is linked with
     * @param known other instances that are registered
     */
    public static long delayMs(long storeAwayMs, int linked, int known, RandomGenerator random) {
        boolean cutOff = 2 * linked < known;
        long left = EXPECTED_OUTAGE_MS - storeAwayMs;
        long base = cutOff ? ELSEWHERE_MS : Math.max(SHORTEST_MS, Math.min(LONGEST_MS, left));
        return (long) (base * (1 + SPREAD * random.nextDouble()));
    }
}
