package io.hornbeamfield.core.discovery;

import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;

/**
 * Decides when an instance makes its next call to follow the objects of one kind in the platform's store. Not
 * thread-safe.
 *
 * <p>Limits two loads that grow with the fleet: bursts of registrations, each of which wakes the watch of every
 * instance (190 changes in 50 s with 91 instances), and retries during an outage of the store or a partition, where two
 * watches of each instance made about four calls per second. A small fleet retries without probes.
 *
 * <pre>{@code
 * WatchPacing pacing = new WatchPacing(timing, WatchPacing.Changes.BURSTS, largeFleet, Math::random);
 * WatchPacing.Retry retry = pacing.failed();
 * }</pre>
 */
public final class WatchPacing {
    /**
     * While the store does not respond, a call that was sent into the silence is not answered when it ends. Short calls
     * notice the end within the call timeout and a backoff.
     */
    static final long RECOVERY_WATCH_WAIT_MS = 100;

    static final long INITIAL_BACKOFF_MS = 50;

    /** The store counts every call, including rejected ones; its recovery must be noticed well within a second. */
    static final long MAX_BACKOFF_MS = 600;

    /**
     * Failures in a row from which on a large fleet probes first. One failed call is repeated without a probe, so that
     * it delays a change by no more than its timeout and the shortest backoff.
     */
    private static final int PROBED_FAILURES = 2;

    private final WatchTiming timing;
    private final Changes changes;
    private final BooleanSupplier largeFleet;
    private final DoubleSupplier random;
    private int consecutiveFailures;

    /** How the objects of a kind change. */
    public enum Changes {
        /** Single changes. */
        SINGLE,
        /** Many changes within seconds, such as registrations of servers that start. */
        BURSTS
    }

    /**
     * What follows a failed call.
     *
     * @param delayMs time to wait first
     * @param probed whether a probe must find the store reachable before the call is repeated
     */
    public record Retry(long delayMs, boolean probed) {}

    /**
     * Creates the pacing of one kind.
     *
     * @param random returns numbers from 0 to 1, which spread the retries of the instances
     */
    public WatchPacing(WatchTiming timing, Changes changes, BooleanSupplier largeFleet, DoubleSupplier random) {
        this.timing = timing;
        this.changes = changes;
        this.largeFleet = largeFleet;
        this.random = random;
    }

    /** Returns how long the next watch waits for a change. */
    public long watchWaitMs() {
        return consecutiveFailures > 0 ? RECOVERY_WATCH_WAIT_MS : timing.watchWaitMs();
    }

    /** Returns the delay between a change and the next watch. */
    public long changeDebounceMs() {
        boolean large = largeFleet.getAsBoolean();
        return changes == Changes.BURSTS && large ? timing.burstDebounceMs() : timing.changeDebounceMs(large);
    }

    /** Records a failed call and returns what follows it. */
    public Retry failed() {
        consecutiveFailures++;
        long backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << Math.min(consecutiveFailures, 8));
        long delayMs = backoffMs / 2 + (long) (random.getAsDouble() * (backoffMs / 2 + 1));
        return new Retry(delayMs, consecutiveFailures >= PROBED_FAILURES && largeFleet.getAsBoolean());
    }

    /** Records that the store has answered. */
    public void succeeded() {
        consecutiveFailures = 0;
    }

    /** Returns the number of calls in a row that have failed. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }
}
