package io.hornbeamfield.entry;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Turns warnings of libraries into lines of the event log. */
final class EventLogHandler extends Handler {
    private final EventLog log;

    private EventLogHandler(EventLog log) {
        this.log = log;
    }

    /** Takes the place of the handlers that write to standard error. */
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
        // The event log writes its lines in batches of its own.
    }

    @Override
    public void close() {
        // The event log is closed by its owner.
    }
}
