package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.entry.Timers;
import java.time.Clock;
import java.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

/** Timers of one request: its deadline, and the silence of the server that it was sent to. */
final class RequestTimers {
    private final Clock clock;
    private final Timers timers;
    private @Nullable Future<?> deadline;
    private @Nullable ServerTimeout silence;

    RequestTimers(Clock clock, Timers timers) {
        this.clock = clock;
        this.timers = timers;
    }

    void startDeadline(long delayMs, Runnable action) {
        deadline = timers.after(delayMs, action);
    }

    void startSilence(long delayMs, Runnable action) {
        silence = ServerTimeout.start(clock, timers, delayMs, action);
    }

    void cancelSilence() {
        ServerTimeout s = silence;
        if (s != null) {
            s.cancel();
        }
    }

    void cancelAll() {
        cancelSilence();
        Future<?> d = deadline;
        if (d != null) {
            d.cancel(false);
        }
    }
}
