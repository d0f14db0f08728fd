package io.hornbeamfield.core.config;

/**
 * Operating parameters that are in force together. Durations are in the unit that their name ends with; ratios and
 * shares are between 0 and 1.
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
