package io.hornbeamfield.core.discovery;

import java.time.Clock;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Determines which instances may be named to callers: of those that this instance checks, only the ones that answered
 * recently. The others are removed from the list of instances by the instances that check them. Thread-safe.
 *
 * <p>The load is an instance that starts, or goes on after it was held up, while the list names instances that ended
 * long ago, and the loss of more than half of the other instances, which looks like a partition.
 */
public final class RecentReadiness {
    private static final long NEVER = Long.MIN_VALUE;

    private final Clock clock;
    private final OptionalLong maxAgeMs;
    private final Map<String, Long> readyAtMs = new ConcurrentHashMap<>();

    /**
     * Creates a state without checked instances.
     *
     * @param maxAgeMs time for which an answer counts; empty if instances are named without one
     */
    public RecentReadiness(Clock clock, OptionalLong maxAgeMs) {
        this.clock = clock;
        this.maxAgeMs = maxAgeMs;
    }

    /** Sets the instances that are checked from now on. */
    public void checked(Set<String> names) {
        readyAtMs.keySet().retainAll(names);
        names.forEach(n -> readyAtMs.putIfAbsent(n, NEVER));
    }

    /** Returns the time at which a check that starts now must be recorded if it succeeds. */
    public long checkStartedMs() {
        return clock.millis();
    }

    /** Records that an instance answered that it is ready; the time is that at which the check started. */
    public void ready(String name, long startedMs) {
        readyAtMs.computeIfPresent(name, (n, before) -> Math.max(before, startedMs));
    }

    /** Returns whether instances are named only after an answer. */
    public boolean requiresAnswer() {
        return maxAgeMs.isPresent();
    }

    /** Returns whether an instance may be named to callers. */
    public boolean mayBeNamed(String name) {
        if (maxAgeMs.isEmpty()) {
            return true;
        }
        Long atMs = readyAtMs.get(name);
        return atMs == null || atMs != NEVER && clock.millis() - atMs <= maxAgeMs.getAsLong();
    }
}
