package io.hornbeamfield.core.attempt;

import java.time.Clock;
import java.util.Optional;

/**
 * The time that a request has: from its arrival to its deadline.
 *
 * <pre>{@code
 * RequestTime time = RequestTime.start(clock, ageMs, callerTimeLeftMs, routeTimeoutMs);
 * if (time.allowsAttempt()) { ... }
 * }</pre>
 */
public final class RequestTime {
    /** No server could respond to an attempt with less remaining time. */
    public static final long MIN_ATTEMPT_MS = 30;

    /** Lets a response that a server sends at the deadline arrive first. */
    private static final long DEADLINE_GRACE_MS = 60;

    private final Clock clock;
    private final long unreadMs;
    private final long arrivedMs;
    private final long limitMs;

    private RequestTime(Clock clock, long unreadMs, long limitMs) {
        this.clock = clock;
        this.unreadMs = unreadMs;
        this.arrivedMs = clock.millis() - unreadMs;
        this.limitMs = limitMs;
    }

    /**
     * Starts the time of a request that is handled now.
     *
     * @param unreadMs time since the request arrived
     * @param callerLimitMs time from its arrival for which the caller waits, if it says so
     * @param routeLimitMs longest time that its route allows
     */
    public static RequestTime start(Clock clock, long unreadMs, Optional<Long> callerLimitMs, long routeLimitMs) {
        return new RequestTime(clock, unreadMs, Math.min(callerLimitMs.orElse(Long.MAX_VALUE), routeLimitMs));
    }

    /** Returns the time that the request had waited before it was handled. */
    public long unreadMs() {
        return unreadMs;
    }

    /** Returns the time from the arrival to the deadline. */
    public long limitMs() {
        return limitMs;
    }

    /** Returns the time since the arrival. */
    public long elapsedMs() {
        return clock.millis() - arrivedMs;
    }

    /** Returns the time until the deadline, negative if it has passed. */
    public long remainingMs() {
        return limitMs - elapsedMs();
    }

    /** Returns whether a server could still respond to an attempt. */
    public boolean allowsAttempt() {
        return remainingMs() >= MIN_ATTEMPT_MS;
    }

    /** Returns the time after which the request ends if it has no response. */
    public long timeoutMs() {
        return remainingMs() + DEADLINE_GRACE_MS;
    }
}
