package io.hornbeamfield.router.traffic.internal;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Splits a server-sent event stream into the data of its events. Events that are cut off are never reported. */
final class SseParser {
    private static final int MAX_LINE_BYTES = 1 << 20;

    private final Consumer<String> onData;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    SseParser(Consumer<String> onData) {
        this.onData = onData;
    }

    /** Adds bytes of the stream. A line above 1 MB throws {@link IllegalStateException}. */
    void feed(byte[] bytes) {
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
        if (text.startsWith("data:")) {
            onData.accept(text.substring("data:".length()).strip());
        }
    }
}
