package io.hornbeamfield.entry;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Logging handler that writes warnings and errors of libraries to the event log. */
final class EventLogHandler extends Handler {
    private final EventLog log;

    private EventLogHandler(EventLog log) {
        this.log = log;
    }

    /** Replaces the default handlers, which write to standard error. */
    static void install(EventLog log) {
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        root.setLevel(Level.WARNING);
        root.addHandler(new EventLogHandler(log));
    }

    @Override
    public void publish(LogRecord entry) {
        log.event("library")
                .field("level", entry.getLevel().getName())
                .field("logger", String.valueOf(entry.getLoggerName()))
                .field("message", String.valueOf(entry.getMessage()))
                .field("failure", String.valueOf(entry.getThrown()))
                .write();
    }

    @Override
    public void flush() {
        // The event log flushes its lines itself.
    }

    @Override
    public void close() {
        // The event log is closed by its owner.
    }
}
