package io.hornbeamfield.entry;

import org.jboss.logging.Logger;

/**
 * Runs a task whose failure must not affect others. An executor cancels a periodic task that throws, and does not log
 * the exception.
 *
 * <pre>{@code
 * executor.scheduleWithFixedDelay(() -> LoggedTask.run("Reading the list", list::read), 200, 200, MILLISECONDS);
 * }</pre>
 */
public final class LoggedTask {
    private static final Logger LOG = Logger.getLogger(LoggedTask.class);

    private LoggedTask() {}

    /** Runs a task, and logs the exception or error that it throws. */
    public static void run(String name, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            LOG.errorf(e, "%s failed.", name);
        }
    }
}
