package io.hornbeamfield.core.route;

import java.time.Clock;
import java.util.OptionalLong;
import java.util.function.LongSupplier;

/**
 * Decides whether a request may be refused for good because the active configuration lacks its route or its key.
 * Callers do not repeat such a request, so the configuration must not be older than a change may take to be adopted. An
 * instance that the store has not answered for longer may still serve what it knows.
 *
 * <p>Answers the load of one instance whose link was full for 8.5 s while others adopted five configurations.
 *
 * <pre>{@code
 * OptionalLong retryAfterMs = freshness.retryAfterMs();
 * if (retryAfterMs.isEmpty()) { ... } // the refusal is final
 * }</pre>
 */
public final class ConfigFreshness {
    /** A caller that looks up addresses after this time finds another instance, which may know more. */
    static final long MIN_RETRY_AFTER_MS = 100;

    /** The store may have returned by then, whatever the length of its outage so far. */
    static final long MAX_RETRY_AFTER_MS = 2_000;

    private final Clock clock;
    private final LongSupplier confirmedMs;
    private final LongSupplier adoptionMs;

    /**
     * Creates a freshness.
     *
     * @param confirmedMs returns the time of which the configuration is known to have been current; 0 if there is none
     * @param adoptionMs returns the time within which a change of the configuration must take effect
     */
    public ConfigFreshness(Clock clock, LongSupplier confirmedMs, LongSupplier adoptionMs) {
        this.clock = clock;
        this.confirmedMs = confirmedMs;
        this.adoptionMs = adoptionMs;
    }

    /** Returns the time since the configuration was known to be current, negative if it never was. */
    public long ageMs() {
        long confirmed = confirmedMs.getAsLong();
        return confirmed == 0 ? -1 : clock.millis() - confirmed;
    }

    /**
     * Returns when a request may be sent again that the active configuration does not allow; empty if its refusal is
     * final. The time grows with the age of the configuration, as the outage that causes it may be one of the store.
     */
    public OptionalLong retryAfterMs() {
        long age = ageMs();
        if (age < 0) {
            return OptionalLong.of(MIN_RETRY_AFTER_MS);
        }
        long overdueMs = age - adoptionMs.getAsLong();
        return overdueMs <= 0
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, overdueMs)));
    }
}
