package io.hornbeamfield.net.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;

/**
 * Splits a stream of server-sent events into names and data. Each data line is reported at once; an event that is cut
 * off within a line is never reported.
 *
 * <pre>{@code
 * EventStreamParser parser = new EventStreamParser((name, data) -> handle(data));
 * parser.feed(chunk);
 * }</pre>
 */
public final class EventStreamParser {
    private static final int MAX_LINE_BYTES = 1 << 20;
    private static final String DEFAULT_NAME = "message";

    private final BiConsumer<String, String> onData;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private String name = DEFAULT_NAME;

    /** Creates a parser that passes the name of an event and its data on. */
    public EventStreamParser(BiConsumer<String, String> onData) {
        this.onData = onData;
    }

    /** Adds bytes of the stream. A line above 1 MB throws {@link IllegalStateException}. */
    public void feed(byte[] bytes) {
        for (byte b : bytes) {
            if (b == '\n') {
                endLine();
            } else if (line.size() < MAX_LINE_BYTES) {
                line.write(b);
            } else {
                throw new IllegalStateException("An event line is longer than " + MAX_LINE_BYTES + " bytes.");
            }
        }
    }

    private void endLine() {
        String text = line.toString(StandardCharsets.UTF_8).stripTrailing();
        line.reset();
        if (text.isEmpty()) {
            name = DEFAULT_NAME;
        } else if (text.startsWith("event:")) {
            name = text.substring("event:".length()).strip();
        } else if (text.startsWith("data:")) {
            onData.accept(name, text.substring("data:".length()).strip());
        }
    }
}
