package io.hornbeamfield.core.budget;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

/** An exponentially weighted rate of requested tokens per second. Thread-safe. */
public final class DemandRate {
    private final Clock clock;
    private final double timeConstantSeconds;
    private Instant updated;
    private Instant lastDemand;
    private double rate;

    /** Creates a rate of 0 that forgets demand with the given time constant. */
    public DemandRate(Clock clock, Duration timeConstant) {
        this.clock = clock;
        this.timeConstantSeconds = timeConstant.toNanos() / 1e9;
        this.updated = clock.instant();
        this.lastDemand = updated;
    }

    /** Counts tokens that a request asked for, whether it was admitted or not. */
    public synchronized void add(long tokens) {
        decay();
        rate += tokens / timeConstantSeconds;
        lastDemand = updated;
    }

    /** Returns the rate now. */
    public synchronized double tokensPerSecond() {
        decay();
        return rate;
    }

    /** Returns the time since the last demand, or since creation if there was none. */
    public synchronized Duration idleTime() {
        return Duration.between(lastDemand, clock.instant());
    }

    private void decay() {
        Instant now = clock.instant();
        double seconds = Duration.between(updated, now).toNanos() / 1e9;
        if (seconds > 0) {
            rate *= Math.exp(-seconds / timeConstantSeconds);
            updated = now;
        }
    }
}
