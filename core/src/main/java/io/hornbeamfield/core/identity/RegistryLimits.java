package io.hornbeamfield.core.identity;

import java.time.Duration;

/**
 * Limits of a {@link RequestRegistry}: number of keys, total bytes of the stored outcomes, bytes of a single outcome,
 * and key lifetime.
 */
public record RegistryLimits(int maxKeys, long maxOutcomeBytes, long maxBytesPerOutcome, Duration keyLifetime) {
    /** Maximum time by which the issue time of a key may be ahead of the router's clock. */
    public static final Duration MAX_FUTURE_SKEW = Duration.ofSeconds(60);

    /** Creates limits with a key lifetime of 600 s and single outcomes of up to 1/16 of the total bytes. */
    public static RegistryLimits of(int maxKeys, long maxOutcomeBytes) {
        return new RegistryLimits(maxKeys, maxOutcomeBytes, maxOutcomeBytes / 16, Duration.ofSeconds(600));
    }
}
