package io.hornbeamfield.entry.traffic;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.function.BiConsumer;

/**
 * Splits a stream of server-sent events into whole events, unchanged, with their ids. An event that is cut off is never
 * reported, so that what a caller has got always ends with a whole event.
 */
final class EventSplitter {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private final BiConsumer<OptionalLong, byte[]> onEvent;
    private final ByteArrayOutputStream event = new ByteArrayOutputStream(256);
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    private OptionalLong id = OptionalLong.empty();
    private boolean lineHasText;

    EventSplitter(BiConsumer<OptionalLong, byte[]> onEvent) {
        this.onEvent = onEvent;
    }

    void feed(byte[] bytes) {
        for (byte b : bytes) {
            event.write(b);
            if (b == '\n') {
                endLine();
            } else if (b != '\r') {
                lineHasText = true;
                line.write(b);
            }
        }
    }

    /** Returns the bytes after the last whole event. */
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
            // An id that is no number cannot be resumed after; the event is passed on without one.
            id = OptionalLong.empty();
        }
    }
}
