package io.hornbeamfield.net.peer.internal;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;

/** An address that a link is kept to, with the delay before the next attempt. */
final class Target {
    private final String address;
    private final Duration shortest;
    private final Duration longest;
    private Duration next;
    private boolean stopped;
    private @Nullable String incarnation;

    Target(String address, Duration heartbeatInterval) {
        this.address = address;
        this.shortest = heartbeatInterval.dividedBy(4);
        this.longest = heartbeatInterval.multipliedBy(5);
        this.next = shortest;
    }

    String address() {
        return address;
    }

    /** Returns the delay before the next attempt: doubled each time, less up to half so that routers spread out. */
    synchronized Duration nextDelay() {
        Duration base = next;
        Duration doubled = next.multipliedBy(2);
        next = doubled.compareTo(longest) > 0 ? longest : doubled;
        long half = Math.max(1, base.toMillis() / 2);
        return Duration.ofMillis(half + ThreadLocalRandom.current().nextLong(half));
    }

    synchronized void linked() {
        next = shortest;
    }

    synchronized void answeredAs(String other) {
        incarnation = other;
    }

    /** Returns the incarnation that answered at this address last. */
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
