package io.hornbeamfield.entry;

import io.hornbeamfield.net.relay.Serial;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Schedules actions that run in the serial executor of request handling. */
public final class Timers {
    private final ScheduledThreadPoolExecutor executor;
    private final Serial serial;

    public Timers(ScheduledThreadPoolExecutor executor, Serial serial) {
        this.executor = executor;
        this.serial = serial;
    }

    /** Runs an action as soon as request handling is free, after those that were passed before. */
    public void soon(Runnable action) {
        executor.execute(inSerial(action));
    }

    /** Runs an action once after a delay. */
    public Future<?> after(long delayMs, Runnable action) {
        return executor.schedule(inSerial(action), Math.max(0, delayMs), TimeUnit.MILLISECONDS);
    }

    /** Runs an action repeatedly, with a fixed delay between two runs. */
    public void every(long periodMs, Runnable action) {
        executor.scheduleWithFixedDelay(inSerial(action), periodMs, periodMs, TimeUnit.MILLISECONDS);
    }

    private Runnable inSerial(Runnable action) {
        return () -> LoggedTask.run("A scheduled action", () -> serial.run(action));
    }
}
