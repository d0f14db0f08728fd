package io.hornbeamfield.core.config;

/**
 * A named set of operating parameters that are activated together. The suffix of a name gives the unit of a duration;
 * ratios and shares are between 0 and 1.
 */
public record Preset(
        long allotmentHorizonSeconds,
        double maxShareOfFree,
        long idleReturnSeconds,
        long admissionWaitMs,
        int maxConcurrent,
        int queueLimit,
        double retryRatio,
        long hedgeAfterMs,
        long streamSilenceMs,
        long billWaitMs,
        long drainSeconds,
        Priority minPriority,
        StaleConfigPolicy staleConfigPolicy) {}
