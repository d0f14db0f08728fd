package io.hornbeamfield.load.policy;

import java.util.List;

/**
 * The shape of a deployment's traffic. The demand of a workspace is its weight; a budget is the given part of the
 * demand of the whole trace, so that parts below 1 run dry.
 */
record Deployment(
        String name,
        int routers,
        List<String> zones,
        double meanRequestsPerSecond,
        List<Integer> weights,
        List<Double> budgetParts,
        double calmFactor,
        double peakFactor,
        long peakPeriodSeconds,
        long peakSeconds) {

    /** Garden allotments: one long burst before the renewal deadline at the end of the trace. */
    static Deployment quabbin() {
        return new Deployment(
                "quabbin",
                8,
                List.of("pioneer-valley", "merrimack", "narragansett"),
                40,
                List.of(40, 25, 12, 6, 5, 4, 3, 2, 2, 1),
                List.of(0.7, 3.0, 0.6, 0.9, 3.0, 0.5, 3.0, 0.8, 3.0, 0.4),
                0.7,
                2.5,
                1_800,
                300);
    }

    /** Dimmer shops: a peak at the counter every ten minutes. */
    static Deployment lampka() {
        return new Deployment(
                "lampka",
                7,
                List.of("a", "b", "c", "d"),
                40,
                List.of(35, 30, 10, 7, 6, 4, 3, 2, 2, 1),
                List.of(3.0, 0.75, 0.6, 3.0, 0.9, 0.5, 3.0, 0.8, 0.4, 3.0),
                0.6,
                2.2,
                600,
                150);
    }

    /** Returns the request rate at a time of the trace; a peak ends each period. */
    double rateAt(long second) {
        boolean peak = second % peakPeriodSeconds >= peakPeriodSeconds - peakSeconds;
        return meanRequestsPerSecond * (peak ? peakFactor : calmFactor);
    }
}
