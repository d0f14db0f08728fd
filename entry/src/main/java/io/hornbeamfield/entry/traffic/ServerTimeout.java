package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.attempt.TimeoutExtension;
import io.hornbeamfield.entry.Timers;
import java.time.Clock;
import java.util.concurrent.Future;

/** A timeout for input from a server. It is extended once if this process was held up when it was due. */
final class ServerTimeout {
    private final Clock clock;
    private final Timers timers;
    private final Runnable action;
    private final long dueMs;
    private Future<?> timer;

    private ServerTimeout(Clock clock, Timers timers, long delayMs, Runnable action) {
        this.clock = clock;
        this.timers = timers;
        this.action = action;
        this.dueMs = clock.millis() + delayMs;
        this.timer = timers.after(delayMs, this::onDue);
    }

    /** Runs an action after a delay unless the timeout is cancelled before. */
    static ServerTimeout start(Clock clock, Timers timers, long delayMs, Runnable action) {
        return new ServerTimeout(clock, timers, delayMs, action);
    }

    private void onDue() {
        long extensionMs = TimeoutExtension.ms(dueMs, clock.millis());
        if (extensionMs == 0) {
            action.run();
        } else {
            timer = timers.after(extensionMs, action);
        }
    }

    /** Cancels the timeout. Must be called in the serial executor. */
    void cancel() {
        timer.cancel(false);
    }
}
