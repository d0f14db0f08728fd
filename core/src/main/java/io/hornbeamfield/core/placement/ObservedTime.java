package io.hornbeamfield.core.placement;

/**
 * Time for which this process could have noticed that servers send. If a regular check is late, the process was held
 * up, and what arrived in the meantime may still wait to be read. Not thread-safe.
 *
 * <pre>{@code
 * if (silence.isSilent(observed.check(clock.millis()), pauseMs)) { ... }
 * }</pre>
 */
public final class ObservedTime {
    private final long intervalMs;
    private long lastCheckMs = Long.MIN_VALUE;

    /** Creates the time of a process that checks its servers at the given interval. */
    public ObservedTime(long intervalMs) {
        this.intervalMs = intervalMs;
    }

    /** Records a check and returns the time up to which the silence of a server counts. */
    public long check(long nowMs) {
        long observedMs = lastCheckMs == Long.MIN_VALUE ? nowMs : Math.min(nowMs, lastCheckMs + intervalMs);
        lastCheckMs = nowMs;
        return observedMs;
    }
}
