package io.hornbeamfield.core.identity;

import java.time.Duration;

/** Bounds of a {@link RequestRegistry}: number of keys, bytes of all stored outcomes and of one, and key lifetime. */
public record RegistryLimits(int maxKeys, long maxOutcomeBytes, long maxBytesPerOutcome, Duration keyLifetime) {
    /** Largest difference by which the time in a key may be ahead of the router's clock. */
    public static final Duration MAX_FUTURE_SKEW = Duration.ofSeconds(60);

    /** Creates limits with the given number of keys and bytes and a key lifetime of 600 s. */
    public static RegistryLimits of(int maxKeys, long maxOutcomeBytes) {
        return new RegistryLimits(maxKeys, maxOutcomeBytes, maxOutcomeBytes / 16, Duration.ofSeconds(600));
    }
}
