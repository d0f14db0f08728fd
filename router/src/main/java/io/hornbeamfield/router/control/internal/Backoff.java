package io.hornbeamfield.router.control.internal;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Exponential backoff with jitter: the delay doubles with each failure up to a limit and is shortened at random by up
 * to half, so that routers do not retry in step.
 */
final class Backoff {
    private final Duration first;
    private final Duration limit;
    private int failures;

    Backoff(Duration first, Duration limit) {
        this.first = first;
        this.limit = limit;
    }

    Duration nextDelay() {
        Duration full = first.multipliedBy(1L << Math.min(failures, 16));
        failures++;
        long nanos = (full.compareTo(limit) > 0 ? limit : full).toNanos();
        return Duration.ofNanos(nanos - ThreadLocalRandom.current().nextLong(nanos / 2 + 1));
    }

    void reset() {
        failures = 0;
    }

    boolean isFailing() {
        return failures > 0;
    }
}
