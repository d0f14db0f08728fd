package io.hornbeamfield.standins.platform.internal;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

/** Token bucket that holds a tenth of a second's calls. */
public final class RateLimit {
    private final Clock clock;
    private Instant last;
    private double tokens = Double.MAX_VALUE;

    public RateLimit(Clock clock) {
        this.clock = clock;
        this.last = clock.instant();
    }

    /** Takes one call out of the given rate; returns false if the rate is used up. */
    public synchronized boolean tryTake(double perSecond) {
        Instant now = clock.instant();
        double burst = Math.max(1, perSecond / 10);
        tokens = Math.min(burst, tokens + Duration.between(last, now).toNanos() / 1e9 * perSecond);
        last = now;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
