package io.hornbeamfield.core.admission;

import java.time.Clock;
import java.util.function.Supplier;

/**
 * How far a graceful shutdown has come. The clock decides, not the time at which a poll happens to run: an instance
 * whose threads are late must not accept requests that it cannot complete.
 *
 * <pre>{@code
 * ShutdownProgress progress = new ShutdownProgress(clock, () -> ShutdownSchedule.of(8_000));
 * progress.stage(); // ACCEPTING
 * }</pre>
 */
public final class ShutdownProgress {
    private final Clock clock;
    private final Supplier<ShutdownSchedule> schedule;
    private final long startedMs;
    private ShutdownStage reached = ShutdownStage.ACCEPTING;
    private boolean endDue;
    private boolean ended;

    /** Starts a shutdown; the schedule may change while it runs. */
    public ShutdownProgress(Clock clock, Supplier<ShutdownSchedule> schedule) {
        this.clock = clock;
        this.schedule = schedule;
        this.startedMs = clock.millis();
    }

    /** Returns the present stage. A longer grace period does not bring an earlier one back. */
    public synchronized ShutdownStage stage() {
        ShutdownStage due = schedule.get().stageAt(clock.millis() - startedMs);
        if (!reached.isAtLeast(due)) {
            reached = due;
        }
        return reached == ShutdownStage.ENDED && !ended ? ShutdownStage.COMPLETING : reached;
    }

    /**
     * Returns the present stage, to be called at intervals. Requests are ended only at the second call after their end
     * is due, so that responses that arrived while the instance was held up are read before.
     */
    public synchronized ShutdownStage advance() {
        stage();
        ended = endDue;
        endDue = reached == ShutdownStage.ENDED;
        return stage();
    }
}
