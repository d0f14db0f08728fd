package io.hornbeamfield.core.prepaid;

/**
 * Sizes the holdings of a large fleet, in which a few holders supply all instances.
 *
 * <p>Designed for an outage of the store of 9 s that coincides with a burst of twice the usual demand, for all
 * instances losing power near the end of a total, and for the seconds after it. A holding sized for the demand before a
 * burst lasts for half of the outage, so the holdings of a plentiful total follow what is left of it. What holders hold
 * is lost with them and then missing at the end, so the holdings of a scarce total are small, and never empty: a holder
 * that has just started knows no demand, and would otherwise have nothing for the instances that ask it.
 */
final class LargeFleetSizer implements HoldingSizer {
    /** Share of what is left of a plentiful total that all holders together hold. */
    private static final double PLENTIFUL_HELD_SHARE = 0.4;

    /** Share of a total from which on what is left is plentiful. */
    private static final double PLENTIFUL_SHARE = 0.35;

    /** Share of a total below which what is left is scarce. Between the two, the holdings are interpolated. */
    private static final double SCARCE_SHARE = 0.25;

    /** Demand that the holdings of a scarce total cover, in seconds: a few writes of each holder. */
    private static final double SCARCE_COVERAGE_SECONDS = 2;

    /** Largest share of a scarce total that all holders together hold; at most 3% may be stranded at the end. */
    private static final double SCARCE_MAX_HELD_SHARE = 0.03;

    /** Smallest share of a scarce total that all holders together hold. */
    private static final double SCARCE_MIN_HELD_SHARE = 0.01;

    /** A holding above this multiple of its target is reduced to the target when the total is not plentiful. */
    private static final double RETURN_FACTOR = 1.5;

    /** Smallest share of a total that is worth a write to return it. */
    private static final double MIN_RETURN_SHARE = 0.001;

    @Override
    public long target(Holding h, int holders) {
        double left = left(h, holders);
        double plentiful = PLENTIFUL_HELD_SHARE * left;
        double covered = h.demandPerSecond() * holders * SCARCE_COVERAGE_SECONDS;
        double bounded =
                Math.max(SCARCE_MIN_HELD_SHARE * h.total(), Math.min(SCARCE_MAX_HELD_SHARE * h.total(), covered));
        double scarce = Math.min(bounded, plentiful);
        double position = (left - SCARCE_SHARE * h.total()) / ((PLENTIFUL_SHARE - SCARCE_SHARE) * h.total());
        double share = Math.max(0, Math.min(1, position));
        return h.total() <= 0 ? 0 : (long) ((scarce + share * (plentiful - scarce)) / holders);
    }

    @Override
    public long excess(Holding h, long target, int holders) {
        long excess = h.free() - target;
        boolean plentiful = left(h, holders) >= PLENTIFUL_SHARE * h.total();
        boolean worthAWrite = excess > MIN_RETURN_SHARE * h.total();
        return !plentiful && worthAWrite && h.free() > RETURN_FACTOR * target ? excess : 0;
    }

    /** Returns what is left of the total, assuming that all holders hold as much as this one. */
    private static double left(Holding h, int holders) {
        return h.untaken() + (double) holders * Math.max(0, h.free());
    }
}
