package io.hornbeamfield.net.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;

/**
 * Incremental parser for server-sent events. Each {@code data} line is reported as soon as it is complete, with the
 * name of its event; a line that is truncated is never reported.
 *
 * <pre>{@code
 * EventStreamParser parser = new EventStreamParser((name, data) -> handle(data));
 * parser.feed(chunk);
 * }</pre>
 */
public final class EventStreamParser {
    private static final int MAX_LINE_BYTES = 1 << 20;
    private static final String DEFAULT_EVENT_NAME = "message";

    private final BiConsumer<String, String> onData;
    private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream();
    private String eventName = DEFAULT_EVENT_NAME;

    /** Creates a parser that passes the event name and the data of each {@code data} line to the callback. */
    public EventStreamParser(BiConsumer<String, String> onData) {
        this.onData = onData;
    }

    /** Parses the next bytes of the stream. A line longer than 1 MiB throws {@link IllegalStateException}. */
    public void feed(byte[] bytes) {
        for (byte b : bytes) {
            if (b == '\n') {
                processLine();
            } else if (lineBuffer.size() < MAX_LINE_BYTES) {
                lineBuffer.write(b);
            } else {
                throw new IllegalStateException("An event line is longer than " + MAX_LINE_BYTES + " bytes.");
            }
        }
    }

    private void processLine() {
        String line = lineBuffer.toString(StandardCharsets.UTF_8).stripTrailing();
        lineBuffer.reset();
        if (line.isEmpty()) {
            eventName = DEFAULT_EVENT_NAME;
        } else if (line.startsWith("event:")) {
            eventName = line.substring("event:".length()).strip();
        } else if (line.startsWith("data:")) {
            onData.accept(eventName, line.substring("data:".length()).strip());
        }
    }
}
