package io.hornbeamfield.core.admission;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

/**
 * The instant after which a caller no longer waits for its answer.
 *
 * <pre>{@code
 * Deadline deadline = Deadline.after(Duration.ofMillis(800), clock);
 * if (deadline.hasPassed(clock)) { ... }
 * }</pre>
 */
public record Deadline(Instant at) implements Comparable<Deadline> {
    private static final Deadline NONE = new Deadline(Instant.MAX);

    /** Returns a deadline that never passes. */
    public static Deadline none() {
        return NONE;
    }

    /** Returns the deadline that passes after the given time from now. */
    public static Deadline after(Duration timeout, Clock clock) {
        return new Deadline(clock.instant().plus(timeout));
    }

    /** Returns whether this deadline can pass. */
    public boolean isBounded() {
        return !at.equals(Instant.MAX);
    }

    /** Returns whether the deadline has been reached. */
    public boolean hasPassed(Clock clock) {
        return !clock.instant().isBefore(at);
    }

    /** Returns whether work that starts now and takes the given time ends before the deadline. */
    public boolean allows(Duration work, Clock clock) {
        return !isBounded() || !clock.instant().plus(work).isAfter(at);
    }

    /** Returns the remaining time: zero once the deadline has passed, ten years if there is no deadline. */
    public Duration remaining(Clock clock) {
        if (!isBounded()) {
            return Duration.ofDays(3_650);
        }
        Duration left = Duration.between(clock.instant(), at);
        return left.isNegative() ? Duration.ZERO : left;
    }

    @Override
    public int compareTo(Deadline other) {
        return at.compareTo(other.at);
    }
}
