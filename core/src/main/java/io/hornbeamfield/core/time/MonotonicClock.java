package io.hornbeamfield.core.time;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * A clock that starts at the wall-clock time of its creation and then advances with {@link System#nanoTime}, so that
 * wall-clock changes do not affect leases and expiry.
 *
 * <pre>{@code
 * Clock clock = MonotonicClock.start();
 * }</pre>
 */
public final class MonotonicClock extends Clock {
    private final Instant startInstant;
    private final long startNanos;

    private MonotonicClock(Instant startInstant, long startNanos) {
        this.startInstant = startInstant;
        this.startNanos = startNanos;
    }

    /** Starts a clock at the current wall-clock time. */
    public static MonotonicClock start() {
        return new MonotonicClock(Instant.now(Clock.systemUTC()), System.nanoTime());
    }

    @Override
    public Instant instant() {
        return startInstant.plus(Duration.ofNanos(System.nanoTime() - startNanos));
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        throw new UnsupportedOperationException("MonotonicClock always uses UTC.");
    }
}
