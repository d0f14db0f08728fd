package io.hornbeamfield.core.config.internal;

import io.hornbeamfield.core.config.Preset;

/** Validates the parameter ranges of a preset. */
public final class PresetCheck {
    private static final long HOUR_SECONDS = 3_600;
    private static final long TEN_MINUTES_MS = 600_000;

    /** Callers cache addresses for 15 s; a shorter drain would refuse requests from callers with a valid address. */
    private static final long MIN_DRAIN_SECONDS = 16;

    private PresetCheck() {}

    /** Validates one preset. */
    public static void check(String name, Preset p, ErrorList errors) {
        String path = "presets." + name;
        errors.requireId(path, name);
        errors.requireRange(path + ".allotmentHorizonSeconds", p.allotmentHorizonSeconds(), 1, HOUR_SECONDS);
        // With a share of 0, a router could take no more than its waiting requests need.
        errors.requireRange(path + ".maxShareOfFree", p.maxShareOfFree(), 0.001, 1.0);
        errors.requireRange(path + ".idleReturnSeconds", p.idleReturnSeconds(), 1, 24 * HOUR_SECONDS);
        errors.requireRange(path + ".admissionWaitMs", p.admissionWaitMs(), 0, 60_000);
        errors.requireRange(path + ".maxConcurrent", p.maxConcurrent(), 1, 100_000);
        errors.requireRange(path + ".queueLimit", p.queueLimit(), 0, 1_000_000);
        errors.requireRange(path + ".retryRatio", p.retryRatio(), 0.0, 1.0);
        // Hedging is not implemented, and accepting a value without effect would mislead operators.
        errors.requireRange(path + ".hedgeAfterMs", p.hedgeAfterMs(), 0, 0);
        errors.requireRange(path + ".streamSilenceMs", p.streamSilenceMs(), 100, TEN_MINUTES_MS);
        errors.requireRange(path + ".billWaitMs", p.billWaitMs(), 0, 60_000);
        errors.requireRange(path + ".drainSeconds", p.drainSeconds(), MIN_DRAIN_SECONDS, HOUR_SECONDS);
    }
}
