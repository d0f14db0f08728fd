package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.router.control.ControlLoop;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/** A control loop on a single-threaded scheduled executor. */
public final class ThreadControlLoop implements ControlLoop {
    private static final Logger LOG = Logger.getLogger(ThreadControlLoop.class);

    private final ScheduledExecutorService executor;
    private final Clock clock;

    public ThreadControlLoop(String name, Clock clock) {
        this.clock = clock;
        this.executor = Executors.newSingleThreadScheduledExecutor(r -> {
            Thread t = new Thread(r, name);
            t.setDaemon(true);
            return t;
        });
    }

    @Override
    public Clock clock() {
        return clock;
    }

    @Override
    public void execute(Runnable task) {
        after(Duration.ZERO, task);
    }

    @Override
    public void after(Duration delay, Runnable task) {
        try {
            executor.schedule(() -> runSafely(task), delay.toNanos(), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("The control loop is closed; the task was dropped.");
        }
    }

    private static void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error(
                    "A control task failed with an unexpected exception. The controllers continue; report this fault.",
                    e);
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
