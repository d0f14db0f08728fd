package io.hornbeamfield.core.discovery;

/**
 * Determines how often an instance calls the platform's store to follow changes. Every call is counted, and all
 * instances follow the same changes, so the calls of a fleet grow with its size. Waiting as long as the deployment
 * allows keeps them few.
 *
 * @param contactMs time after which an instance that can reach the store must know its state
 * @param adoptionMs time within which a change must take effect
 * @param callTimeoutMs time after which a call without an answer has failed
 */
public record WatchTiming(long contactMs, long adoptionMs, long callTimeoutMs) {
    /** Time for the first call on a new connection after a silent one has been given up. */
    private static final long RECONNECT_MS = 100;

    private static final long MIN_WATCH_WAIT_MS = 500;

    /** A slow store responds within this time. */
    private static final long SLOW_ANSWER_MS = 250;

    /** Batches bursts of changes, such as the registrations after a start, each of which would wake every instance. */
    private static final long CHANGE_DEBOUNCE_MS = 150;

    /** Share of the adoption time for which a large fleet batches changes; the rest is left to a slow store. */
    private static final double LARGE_FLEET_DEBOUNCE_SHARE = 0.25;

    /** A draining or removed server must get nothing new later than this, whatever a configuration change may take. */
    private static final long MAX_DRAIN_MS = 3_000;

    /** Time from a failed call to the answer of the next one: the first backoff and a slow answer. */
    private static final long RETRY_MS = 350;

    /** Time in addition to the retention of a removed server: a refused call, its backoff, the check and its list. */
    private static final long REMOVAL_CHECK_MS = 400;

    /** Returns the longest wait of a watch, after which a silent connection is still noticed in time. */
    public long watchWaitMs() {
        return Math.max(MIN_WATCH_WAIT_MS, contactMs - callTimeoutMs - RECONNECT_MS);
    }

    /**
     * Returns the timing of a watch whose answers, also those without a change, come within each adoption time, so that
     * an instance knows whether its state may be out of date.
     */
    public WatchTiming confirming() {
        long longestMs = adoptionMs - SLOW_ANSWER_MS + callTimeoutMs + RECONNECT_MS;
        return new WatchTiming(Math.min(contactMs, longestMs), adoptionMs, callTimeoutMs);
    }

    /** Returns the delay between a change and the next watch. */
    public long changeDebounceMs(boolean largeFleet) {
        return largeFleet
                ? Math.max(CHANGE_DEBOUNCE_MS, (long) (adoptionMs * LARGE_FLEET_DEBOUNCE_SHARE))
                : CHANGE_DEBOUNCE_MS;
    }

    /**
     * Returns the delay between a change and the next watch in a large fleet for registrations of servers, which change
     * in bursts. It leaves time for one failed call, and for the retention of a server that is removed.
     */
    public long burstDebounceMs() {
        long limitMs = Math.min(adoptionMs, MAX_DRAIN_MS);
        long drainMs = limitMs - callTimeoutMs - RETRY_MS;
        long removalMs = limitMs - BackendDirectory.MAX_RETENTION_MS - REMOVAL_CHECK_MS;
        return Math.max(changeDebounceMs(true), Math.min(drainMs, removalMs));
    }
}
