package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.entry.Timers;
import java.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

/** Timers of one request: its deadline, and the silence of the server that it was sent to. */
final class RequestTimers {
    private final Timers timers;
    private @Nullable Future<?> deadline;
    private @Nullable Future<?> silence;

    RequestTimers(Timers timers) {
        this.timers = timers;
    }

    void startDeadline(long delayMs, Runnable action) {
        deadline = timers.after(delayMs, action);
    }

    void startSilence(long delayMs, Runnable action) {
        silence = timers.after(delayMs, action);
    }

    void cancelSilence() {
        cancel(silence);
    }

    void cancelAll() {
        cancel(deadline);
        cancel(silence);
    }

    private static void cancel(@Nullable Future<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }
}
