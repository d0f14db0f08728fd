package io.hornbeamfield.core.time;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * A clock that advances only on request, for tests and simulations.
 *
 * <pre>{@code
 * ManualClock clock = ManualClock.atEpochSecond(1_000);
 * clock.advance(Duration.ofSeconds(5));
 * }</pre>
 */
public final class ManualClock extends Clock {
    private Instant now;

    private ManualClock(Instant start) {
        this.now = start;
    }

    /** Creates a clock that is set to the given epoch second. */
    public static ManualClock atEpochSecond(long epochSecond) {
        return new ManualClock(Instant.ofEpochSecond(epochSecond));
    }

    /** Advances the clock. */
    public synchronized void advance(Duration step) {
        if (step.isNegative()) {
            throw new IllegalArgumentException("The clock cannot be moved back: " + step);
        }
        now = now.plus(step);
    }

    @Override
    public synchronized Instant instant() {
        return now;
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        throw new UnsupportedOperationException("ManualClock always uses UTC.");
    }
}
