package io.hornbeamfield.entry.traffic;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Splits a stream of server-sent events into complete, unmodified events with their ids. A truncated event is never
 * reported, so what a caller has received always ends with a complete event.
 */
final class EventSplitter {
    /** A server that sends more without the end of an event sends no events. */
    static final int MAX_EVENT_BYTES = 256 * 1024;

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DATA_FIELD = "data".getBytes(StandardCharsets.US_ASCII);

    private final Listener listener;
    private final ByteArrayOutputStream event = new ByteArrayOutputStream(256);
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    private OptionalLong id = OptionalLong.empty();
    private boolean hasData;
    private boolean lineHasText;

    /** Receives the events. */
    interface Listener {
        /** Called for each complete event, with its bytes as received. */
        void onEvent(OptionalLong id, boolean hasData, byte[] event);
    }

    EventSplitter(Listener listener) {
        this.listener = listener;
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
            readField();
        } else {
            OptionalLong eventId = id;
            boolean eventHasData = hasData;
            byte[] whole = event.toByteArray();
            event.reset();
            id = OptionalLong.empty();
            hasData = false;
            listener.onEvent(eventId, eventHasData, whole);
        }
        line.reset();
        lineHasText = false;
    }

    private void readField() {
        byte[] text = line.toByteArray();
        hasData |= startsWith(text, DATA_FIELD);
        if (startsWith(text, ID_FIELD)) {
            id = parseId(new String(text, ID_FIELD.length, text.length - ID_FIELD.length, StandardCharsets.US_ASCII));
        }
    }

    private static boolean startsWith(byte[] text, byte[] field) {
        return text.length >= field.length && Arrays.equals(text, 0, field.length, field, 0, field.length);
    }

    /** A stream cannot be resumed after a non-numeric id, so that its event counts as one without an id. */
    private static OptionalLong parseId(String value) {
        try {
            return OptionalLong.of(Long.parseLong(value.trim()));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
