package io.hornbeamfield.core.time;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * A paused clock that moves only when told to, for tests and replays.
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

    /** Creates a clock that is paused at the given epoch second. */
    public static ManualClock atEpochSecond(long epochSecond) {
        return new ManualClock(Instant.ofEpochSecond(epochSecond));
    }

    /** Moves the clock forward. */
    public synchronized void advance(Duration step) {
        if (step.isNegative()) {
            throw new IllegalArgumentException("A clock cannot be moved back: " + step);
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
