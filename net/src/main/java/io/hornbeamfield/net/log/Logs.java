package io.hornbeamfield.net.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.Logger;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.handlers.ConsoleHandler;

/**
 * Sends all log records, those of {@code java.util.logging} included, to standard error as one JSON object per line.
 *
 * <pre>{@code
 * public static void main(String[] args) {
 *     Logs.setUp();
 *     ...
 * }
 * }</pre>
 */
public final class Logs {
    private Logs() {}

    /**
     * Installs the log manager. It must run before any other logging call of the process, because the JDK reads the
     * property once.
     */
    public static void setUp() {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        System.setProperty("org.jboss.logging.provider", "jboss");
        Logger root = LogContext.getLogContext().getLogger("");
        root.setLevel(Level.INFO);
        // Grizzly reports the failures of single connections as warnings; those are counters here.
        LogContext.getLogContext().getLogger("org.glassfish.grizzly").setLevel(Level.SEVERE);
        root.setHandlers(new Handler[] {handler()});
    }

    private static Handler handler() {
        ConsoleHandler handler = new ConsoleHandler(ConsoleHandler.Target.SYSTEM_ERR, new JsonFormatter());
        handler.setAutoFlush(true);
        return handler;
    }
}
