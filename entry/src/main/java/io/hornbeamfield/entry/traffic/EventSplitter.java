package io.hornbeamfield.entry.traffic;

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

    private static final int INITIAL_BUFFER_BYTES = 512;
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DATA_FIELD = "data".getBytes(StandardCharsets.US_ASCII);

    private final Listener listener;

    /** The bytes from the start of the current event on. */
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];

    private int size;
    private int scanned;
    private int lineStart;
    private OptionalLong id = OptionalLong.empty();
    private boolean hasData;

    /** Receives the events. */
    @FunctionalInterface
    interface Listener {
        /**
         * Called for each complete event.
         *
         * @param id number of the event, if it has one
         * @param hasData whether the event has a data field; other events are comments and empty lines
         * @param buffer holds the bytes of the event as received, until the method returns
         */
        void onEvent(OptionalLong id, boolean hasData, byte[] buffer, int offset, int length);
    }

    EventSplitter(Listener listener) {
        this.listener = listener;
    }

    /** Reads a part of the stream. Returns false if it has an event of more than {@link #MAX_EVENT_BYTES} bytes. */
    boolean feed(byte[] part) {
        if (size >= MAX_EVENT_BYTES) {
            return false;
        }
        append(part);
        int eventStart = 0;
        for (; scanned < size; scanned++) {
            if (buffer[scanned] != '\n') {
                continue;
            }
            if (isBlankLine()) {
                reportEvent(eventStart, scanned + 1);
                eventStart = scanned + 1;
            } else {
                readField();
            }
            lineStart = scanned + 1;
        }
        drop(eventStart);
        return true;
    }

    private void append(byte[] part) {
        int needed = size + part.length;
        if (needed > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(needed, 2 * buffer.length));
        }
        System.arraycopy(part, 0, buffer, size, part.length);
        size = needed;
    }

    private void drop(int bytes) {
        if (bytes > 0) {
            System.arraycopy(buffer, bytes, buffer, 0, size - bytes);
            size -= bytes;
            scanned -= bytes;
            lineStart -= bytes;
        }
    }

    /** Returns the bytes after the last complete event. */
    byte[] remainder() {
        return Arrays.copyOf(buffer, size);
    }

    /** Returns the number of bytes after the last complete event. */
    int remainingBytes() {
        return size;
    }

    private boolean isBlankLine() {
        return lineStart == scanned || (lineStart == scanned - 1 && buffer[lineStart] == '\r');
    }

    private void reportEvent(int from, int to) {
        OptionalLong eventId = id;
        boolean eventHasData = hasData;
        id = OptionalLong.empty();
        hasData = false;
        listener.onEvent(eventId, eventHasData, buffer, from, to - from);
    }

    private void readField() {
        hasData |= lineStartsWith(DATA_FIELD);
        if (lineStartsWith(ID_FIELD)) {
            int valueStart = lineStart + ID_FIELD.length;
            id = parseId(new String(buffer, valueStart, scanned - valueStart, StandardCharsets.US_ASCII));
        }
    }

    private boolean lineStartsWith(byte[] field) {
        int end = lineStart + field.length;
        return end <= scanned && Arrays.equals(buffer, lineStart, end, field, 0, field.length);
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
