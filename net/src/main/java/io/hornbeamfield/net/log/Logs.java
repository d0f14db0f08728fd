package io.hornbeamfield.net.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.Logger;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.handlers.ConsoleHandler;

/**
 * Configures logging: all log records, including those of {@code java.util.logging}, go to standard error as one JSON
 * object per line.
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
     * Installs the log manager. Must be called before the process logs anything, because the JDK reads the log manager
     * property only once.
     */
    public static void setUp() {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        System.setProperty("org.jboss.logging.provider", "jboss");
        Logger root = LogContext.getLogContext().getLogger("");
        root.setLevel(Level.INFO);
        // Grizzly logs failures of single connections as warnings; this project counts them in metrics instead.
        LogContext.getLogContext().getLogger("org.glassfish.grizzly").setLevel(Level.SEVERE);
        root.setHandlers(new Handler[] {consoleHandler()});
    }

    private static Handler consoleHandler() {
        ConsoleHandler handler = new ConsoleHandler(ConsoleHandler.Target.SYSTEM_ERR, new JsonFormatter());
        handler.setAutoFlush(true);
        return handler;
    }
}
