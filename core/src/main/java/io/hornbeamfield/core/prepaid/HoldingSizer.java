package io.hornbeamfield.core.prepaid;

/** Decides how many tokens of a prepaid total one holder holds. */
interface HoldingSizer {
    /** Sizes the holdings of a fleet in which every instance is a holder. */
    HoldingSizer SMALL_FLEET = new HoldingSizer() {
        @Override
        public long target(Holding h, int holders) {
            return HoldingPolicy.target(h.demandPerSecond(), h.available(), h.total(), holders);
        }

        @Override
        public long excess(Holding h, long target, int holders) {
            return HoldingPolicy.excess(h.free(), target, h.available(), h.total());
        }
    };

    /**
     * What a holder knows of a total.
     *
     * @param demandPerSecond demand that this holder serves, in tokens per second
     * @param untaken tokens in the ledger that no holder has taken
     * @param free tokens that this holder may still spend
     * @param total tokens of the workspace
     */
    record Holding(double demandPerSecond, long untaken, long free, long total) {
        /** Returns the most that this holder could hold. */
        long available() {
            return untaken + Math.max(0, free);
        }
    }

    /** Returns the number of tokens that the holder should hold. */
    long target(Holding holding, int holders);

    /** Returns the number of tokens to return to the total, 0 if the holding may stay as it is. */
    long excess(Holding holding, long target, int holders);
}
