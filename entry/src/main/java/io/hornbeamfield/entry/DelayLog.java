package io.hornbeamfield.entry;

import java.time.Clock;

/**
 * Logs that a thread could not run for some time, because the process got no processor time or other work came first.
 * What arrived meanwhile was handled late. Not thread-safe.
 *
 * <pre>{@code
 * every(TICK_MS, () -> delays.check(TICK_MS));
 * }</pre>
 */
public final class DelayLog {
    /** Shorter delays are of no consequence for configurations and callers. */
    private static final long MIN_LOGGED_MS = 500;

    private final Clock clock;
    private final EventLog log;
    private final String thread;
    private long lastCheckMs = Long.MIN_VALUE;

    /**
     * Creates the log of one thread.
     *
     * @param thread name of the thread in the log
     */
    public DelayLog(Clock clock, EventLog log, String thread) {
        this.clock = clock;
        this.log = log;
        this.thread = thread;
    }

    /** Checks whether the time since the last check is much longer than the interval of the checks. */
    public void check(long intervalMs) {
        long now = clock.millis();
        long delayMs = lastCheckMs == Long.MIN_VALUE ? 0 : now - lastCheckMs - intervalMs;
        lastCheckMs = now;
        if (delayMs >= MIN_LOGGED_MS) {
            log.event("held-up").field("thread", thread).field("ms", delayMs).write();
        }
    }
}
