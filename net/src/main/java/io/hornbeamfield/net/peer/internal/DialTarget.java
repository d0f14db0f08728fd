package io.hornbeamfield.net.peer.internal;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;

/** An address to which a link is maintained, with the backoff before the next connect attempt. */
final class DialTarget {
    private final String address;
    private final Duration minBackoff;
    private final Duration maxBackoff;
    private Duration backoff;
    private boolean stopped;
    private @Nullable String incarnation;

    DialTarget(String address, Duration heartbeatInterval) {
        this.address = address;
        this.minBackoff = heartbeatInterval.dividedBy(4);
        this.maxBackoff = heartbeatInterval.multipliedBy(5);
        this.backoff = minBackoff;
    }

    String address() {
        return address;
    }

    /**
     * Returns the delay before the next attempt: exponential backoff, jittered down by up to half so that routers
     * spread out.
     */
    synchronized Duration nextBackoff() {
        Duration base = backoff;
        Duration doubled = backoff.multipliedBy(2);
        backoff = doubled.compareTo(maxBackoff) > 0 ? maxBackoff : doubled;
        long half = Math.max(1, base.toMillis() / 2);
        return Duration.ofMillis(half + ThreadLocalRandom.current().nextLong(half));
    }

    synchronized void resetBackoff() {
        backoff = minBackoff;
    }

    synchronized void setIncarnation(String other) {
        incarnation = other;
    }

    /** Returns the incarnation that last answered at this address, or null if none has. */
    synchronized @Nullable String incarnation() {
        return incarnation;
    }

    synchronized void stop() {
        stopped = true;
    }

    synchronized boolean isStopped() {
        return stopped;
    }
}
