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

    /** Batches bursts of changes, such as the registrations after a start, each of which would wake every instance. */
    private static final long CHANGE_DEBOUNCE_MS = 150;

    /** Share of the adoption time for which a large fleet batches changes; the rest is left to a slow store. */
    private static final double LARGE_FLEET_DEBOUNCE_SHARE = 0.25;

    /** Returns the longest wait of a watch, after which a silent connection is still noticed in time. */
    public long watchWaitMs() {
        return Math.max(MIN_WATCH_WAIT_MS, contactMs - callTimeoutMs - RECONNECT_MS);
    }

    /** Returns the delay between a change and the next watch. */
    public long changeDebounceMs(boolean largeFleet) {
        return largeFleet
                ? Math.max(CHANGE_DEBOUNCE_MS, (long) (adoptionMs * LARGE_FLEET_DEBOUNCE_SHARE))
                : CHANGE_DEBOUNCE_MS;
    }
}
