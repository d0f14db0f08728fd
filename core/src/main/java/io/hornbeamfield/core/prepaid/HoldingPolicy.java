package io.hornbeamfield.core.prepaid;

/**
 * How much of a total an instance holds. A holding bridges the time in which the store cannot be reached; what a killed
 * instance held is lost. While much of a total is left, the outage matters more. Near its end the loss does: tokens
 * that are lost there are missing for every later request, so that only a small share is held.
 *
 * <p>Answers two load patterns: all instances cut from the store for 9 s, and all instances killed near the end of the
 * totals.
 */
final class HoldingPolicy {
    /** Bridges the longest partitions and outages that the deployments expect, 9 s. */
    private static final double HOLD_SECONDS = 10;

    /** Share of an untouched total that all instances together hold before they know any demand. */
    private static final double INITIAL_SHARE = 0.2;

    /** Above this share of a total that nobody has taken, the initial share applies. */
    private static final double UNTOUCHED_SHARE = 0.8;

    /** Above this available share of a total, the holdings may be at their largest. */
    private static final double PLENTY_SHARE = 0.35;

    /** Below this available share of a total, the holdings are at their smallest. */
    private static final double SCARCE_SHARE = 0.2;

    /**
     * Largest share of a total that all instances hold between the two: at most 3 in 100 may be stranded at the end.
     */
    private static final double MAX_HELD_SHARE_SCARCE = 0.02;

    /**
     * All instances together lose it when they are killed at once; a single one that is killed loses it only without
     * witnesses.
     */
    private static final double MAX_HELD_SHARE_PLENTY = 0.3;

    /** A holding below this share of its target is refilled: a few writes in each span that a holding bridges. */
    private static final double REFILL_SHARE = 0.7;

    /** A holding above this multiple of its target is given back when tokens are scarce. */
    private static final double RETURN_FACTOR = 1.5;

    /** Less than this share of a total is not worth a write. */
    private static final double MIN_RETURN_SHARE = 0.004;

    /**
     * Share of a total by which a limit is ahead of the use, whatever the demand: eight instances that are killed lose
     * at most 1.6 in 100. In a large fleet this covers most of what one instance holds, so that a workspace with a
     * request in some seconds does not wait for its witnesses with each one.
     */
    static final double LIMIT_AHEAD_SHARE = 0.002;

    private HoldingPolicy() {}

    static long target(double demandPerSecond, long available, long total, int instances) {
        double wanted = demandPerSecond * HOLD_SECONDS;
        if (available > UNTOUCHED_SHARE * total) {
            wanted = Math.max(wanted, total * INITIAL_SHARE / instances);
        }
        double most = Math.min(available, maxHeldByAll(available, total));
        return (long) Math.min(wanted, most / instances);
    }

    private static double maxHeldByAll(long available, long total) {
        double share = total <= 0 ? 0 : available / (double) total;
        if (share >= PLENTY_SHARE) {
            return total * MAX_HELD_SHARE_PLENTY;
        }
        double position = Math.max(0, (share - SCARCE_SHARE) / (PLENTY_SHARE - SCARCE_SHARE));
        return total * (MAX_HELD_SHARE_SCARCE + position * (MAX_HELD_SHARE_PLENTY - MAX_HELD_SHARE_SCARCE));
    }

    static boolean needsRefill(long free, long target) {
        return free < REFILL_SHARE * target;
    }

    /** Returns the tokens to give back, 0 if the holding may stay. */
    static long excess(long free, long target, long available, long total) {
        long excess = free - target;
        boolean scarce = available < PLENTY_SHARE * total;
        boolean worthAWrite = excess > MIN_RETURN_SHARE * total;
        return scarce && worthAWrite && free > RETURN_FACTOR * target ? excess : 0;
    }
}
