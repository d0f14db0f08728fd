package io.hornbeamfield.core.prepaid;

import java.util.random.RandomGenerator;

/**
 * Backoff for conditional writes to the ledger that conflict with a write of another instance. The response to a
 * conflict contains the current ledger, so the first retry is immediate and costs no read. If it conflicts too, the
 * next attempt follows after a random delay whose upper bound grows with the number of instances. After that, immediate
 * and delayed retries alternate.
 *
 * <p>Designed for a large fleet in which 86 instances take their first tokens at the same moment: with immediate
 * retries only, one write succeeds per round and the number of calls is the square of the number of instances.
 *
 * <pre>{@code
 * long delayMs = backoff.afterConflict(instances, random);
 * }</pre>
 */
public final class ConflictBackoff {
    /**
     * Duration of a call to the store: 4 ms of processing and 1 to 3 ms in each direction. Retries of several instances
     * within this time conflict again.
     */
    private static final long STORE_CALL_MS = 8;

    /** The longest delay is then about half a second, the time that a request waits for tokens. */
    private static final int MAX_DOUBLINGS = 3;

    private int conflicts;

    /** Records a conflict and returns the delay before the next attempt in milliseconds. */
    public long afterConflict(int instances, RandomGenerator random) {
        conflicts++;
        return conflicts % 2 == 1 ? 0 : random.nextLong(instances * STORE_CALL_MS) + 1;
    }

    /**
     * Records a conflict in a large fleet, where instances that hold no tokens may write as well, and returns the delay
     * before the next attempt. The bound of each further delay is twice as large, so that slow holders get their turn.
     */
    public long afterConflictInLargeFleet(int holders, RandomGenerator random) {
        conflicts++;
        if (conflicts % 2 == 1) {
            return 0;
        }
        int doublings = Math.min(conflicts / 2 - 1, MAX_DOUBLINGS);
        return random.nextLong(holders * STORE_CALL_MS << doublings) + 1;
    }

    /** Resets the backoff after a successful write. */
    public void afterWrite() {
        conflicts = 0;
    }
}
