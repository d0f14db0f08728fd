package io.hornbeamfield.core.prepaid;

/**
 * Sizes the tokens that an instance holds of a prepaid total. Held tokens let the instance serve requests while the
 * store is unreachable, but they are lost if the instance is killed. While most of a total is available, the policy
 * favors bridging outages. Near the end of a total it favors limiting the loss, because lost tokens are then missing
 * for every later request.
 *
 * <p>Designed for two scenarios: all instances partitioned from the store for 9 s, and all instances killed near the
 * end of the totals.
 */
final class HoldingPolicy {
    /** Demand that a holding covers, in seconds; the longest partitions and outages that are expected last 9 s. */
    private static final double COVERAGE_SECONDS = 10;

    /** Share of an untouched total that all instances together hold before any demand has been observed. */
    private static final double INITIAL_SHARE = 0.2;

    /** The initial share applies while more than this share of a total is available. */
    private static final double UNTOUCHED_SHARE = 0.8;

    /** Available share of a total from which on holdings may reach their maximum. */
    private static final double PLENTIFUL_SHARE = 0.35;

    /**
     * Available share of a total below which holdings are at their minimum. Between the two, the limit is interpolated.
     */
    private static final double SCARCE_SHARE = 0.2;

    /** Largest share of a scarce total that all instances together hold; at most 3% may be stranded at the end. */
    private static final double MAX_HELD_SHARE_SCARCE = 0.02;

    /**
     * Largest share of a plentiful total that all instances together hold. It is lost if all of them are killed at
     * once; a single killed instance loses its part only if it has no witnesses.
     */
    private static final double MAX_HELD_SHARE_PLENTIFUL = 0.3;

    /** A holding below this share of its target is refilled; this gives a few writes per coverage period. */
    private static final double REFILL_SHARE = 0.7;

    /** While tokens are scarce, a holding above this multiple of its target is reduced to the target. */
    private static final double RETURN_FACTOR = 1.5;

    /** Smallest share of a total that is worth a write to return it. */
    private static final double MIN_RETURN_SHARE = 0.004;

    /**
     * Headroom of a witnessed limit above the current use, as a share of the total and independent of the demand. Eight
     * instances that are killed lose at most 1.6%. In a large fleet the headroom covers most of an instance's holding,
     * so that a workspace with one request every few seconds does not wait for its witnesses on each request.
     */
    static final double LIMIT_HEADROOM_SHARE = 0.002;

    private HoldingPolicy() {}

    /** Returns the number of tokens that one instance should hold. */
    static long target(double demandPerSecond, long available, long total, int instances) {
        double wanted = demandPerSecond * COVERAGE_SECONDS;
        if (available > UNTOUCHED_SHARE * total) {
            wanted = Math.max(wanted, total * INITIAL_SHARE / instances);
        }
        double maxHeld = Math.min(available, maxHeldByAll(available, total));
        return (long) Math.min(wanted, maxHeld / instances);
    }

    private static double maxHeldByAll(long available, long total) {
        double share = total <= 0 ? 0 : available / (double) total;
        if (share >= PLENTIFUL_SHARE) {
            return total * MAX_HELD_SHARE_PLENTIFUL;
        }
        double position = Math.max(0, (share - SCARCE_SHARE) / (PLENTIFUL_SHARE - SCARCE_SHARE));
        return total * (MAX_HELD_SHARE_SCARCE + position * (MAX_HELD_SHARE_PLENTIFUL - MAX_HELD_SHARE_SCARCE));
    }

    static boolean needsRefill(long free, long target) {
        return free < REFILL_SHARE * target;
    }

    /** Returns the number of tokens to return to the total, 0 if the holding may stay as it is. */
    static long excess(long free, long target, long available, long total) {
        long excess = free - target;
        boolean scarce = available < PLENTIFUL_SHARE * total;
        boolean worthAWrite = excess > MIN_RETURN_SHARE * total;
        return scarce && worthAWrite && free > RETURN_FACTOR * target ? excess : 0;
    }
}
