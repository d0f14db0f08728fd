package io.hornbeamfield.entry;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Structured log that writes one JSON line per event, with the fields in the order in which they were added. Lines pass
 * through a bounded buffer that a separate thread drains; when it is full, lines are dropped and counted.
 *
 * <pre>{@code
 * log.event("config-adopted").field("version", 7).field("ageMs", 3).write();
 * }</pre>
 */
public interface EventLog {
    /** Starts a line. */
    Line event(String name);

    /** Returns the number of dropped lines. */
    long dropped();

    /** Returns a log that discards all lines. */
    static EventLog none() {
        AtomicLong lines = new AtomicLong();
        return new EventLog() {
            @Override
            public Line event(String name) {
                return new Line(name, text -> lines.incrementAndGet());
            }

            @Override
            public long dropped() {
                return 0;
            }
        };
    }

    /** Builder of one log line. */
    final class Line {
        private final StringBuilder text = new StringBuilder(200);
        private final Consumer<String> sink;

        Line(String event, Consumer<String> sink) {
            this.sink = sink;
            text.append("{\"event\":\"").append(event).append('"');
        }

        /** Adds a string field. */
        public Line field(String name, String value) {
            text.append(",\"").append(name).append("\":\"");
            for (int i = 0; i < value.length(); i++) {
                char c = value.charAt(i);
                if (c == '"' || c == '\\') {
                    text.append('\\').append(c);
                } else {
                    text.append(c < ' ' ? ' ' : c);
                }
            }
            text.append('"');
            return this;
        }

        /** Adds a numeric field. */
        public Line field(String name, long value) {
            text.append(",\"").append(name).append("\":").append(value);
            return this;
        }

        /** Completes the line and passes it to the log. */
        public void write() {
            sink.accept(text.append('}').toString());
        }
    }
}
