package io.hornbeamfield.entry.traffic;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.function.BiConsumer;

/**
 * Splits a stream of server-sent events into complete, unmodified events with their ids. A truncated event is never
 * reported, so what a caller has received always ends with a complete event.
 */
final class EventSplitter {
    /** A server that sends more without the end of an event sends no events. */
    static final int MAX_EVENT_BYTES = 256 * 1024;

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private final BiConsumer<OptionalLong, byte[]> onEvent;
    private final ByteArrayOutputStream event = new ByteArrayOutputStream(256);
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    private OptionalLong id = OptionalLong.empty();
    private boolean lineHasText;

    EventSplitter(BiConsumer<OptionalLong, byte[]> onEvent) {
        this.onEvent = onEvent;
    }

    /** Reads a part of the stream. Returns false if it has an event of more than {@link #MAX_EVENT_BYTES} bytes. */
    boolean feed(byte[] bytes) {
        for (byte b : bytes) {
            if (event.size() >= MAX_EVENT_BYTES) {
                return false;
            }
            event.write(b);
            if (b == '\n') {
                endLine();
            } else if (b != '\r') {
                lineHasText = true;
                line.write(b);
            }
        }
        return true;
    }

    /** Returns the bytes after the last complete event. */
    byte[] remainder() {
        return event.toByteArray();
    }

    private void endLine() {
        if (lineHasText) {
            readId();
        } else {
            OptionalLong eventId = id;
            byte[] whole = event.toByteArray();
            event.reset();
            id = OptionalLong.empty();
            onEvent.accept(eventId, whole);
        }
        line.reset();
        lineHasText = false;
    }

    private void readId() {
        byte[] text = line.toByteArray();
        if (text.length <= ID_FIELD.length) {
            return;
        }
        for (int i = 0; i < ID_FIELD.length; i++) {
            if (text[i] != ID_FIELD[i]) {
                return;
            }
        }
        String value = new String(text, ID_FIELD.length, text.length - ID_FIELD.length, StandardCharsets.US_ASCII);
        try {
            id = OptionalLong.of(Long.parseLong(value.trim()));
        } catch (NumberFormatException e) {
            // A stream cannot be resumed after a non-numeric id; the event is forwarded as one without an id.
            id = OptionalLong.empty();
        }
    }
}
