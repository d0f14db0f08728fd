package io.hornbeamfield.load.policy;

import java.util.List;
import java.util.function.ToDoubleFunction;

/** What one replay measured. Rates are parts of all requests, calls are per 1,000 requests. */
record Measures(
        long overspendTokens,
        long refusals,
        long falseRefusals,
        double falseRefusalRate,
        double platformCallsPer1000,
        double ledgerWritesPer1000,
        double peerRequestsPer1000,
        double meanRefusalWaitSeconds,
        long strandedTokens,
        double strandedShare,
        double usableShareOfLast2Percent) {

    /** The median of a measure over the seeds, with the smallest and the largest value. */
    record Spread(double median, double min, double max) {}

    static Spread spread(List<Measures> runs, ToDoubleFunction<Measures> measure) {
        double[] sorted = runs.stream().mapToDouble(measure).sorted().toArray();
        return new Spread(sorted[sorted.length / 2], sorted[0], sorted[sorted.length - 1]);
    }
}
