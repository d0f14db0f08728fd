package io.hornbeamfield.core.attempt;

/**
 * Adapts how many bytes are read from a connection at once to the number of parts that they turn out to hold, so that
 * no connection occupies the thread that all share for long. Not thread-safe.
 *
 * <pre>{@code
 * int read = channel.read(buffer.limit(size.bytes()));
 * parse(buffer, part -> size.partHandled());
 * size.readHandled(read);
 * }</pre>
 */
public final class ReadSize {
    /** Largest size of a read. */
    public static final int MAX_BYTES = 32 * 1024;

    /** Smallest size of a read. */
    public static final int MIN_BYTES = 256;

    private static final int INITIAL_BYTES = 4 * 1024;

    /** A read with more parts is followed by smaller ones. */
    private static final int MAX_PARTS = 64;

    private int bytes = INITIAL_BYTES;
    private int parts;

    /** Returns the size of the next read. */
    public int bytes() {
        return bytes;
    }

    /** Records a part of the input, for example a chunk of a body. */
    public void partHandled() {
        parts++;
    }

    /** Records that all parts of a read of the given size have been handled. */
    public void readHandled(int readBytes) {
        if (parts > MAX_PARTS) {
            bytes = (int) Math.max(MIN_BYTES, (long) bytes * MAX_PARTS / parts);
        } else if (readBytes >= bytes && parts <= MAX_PARTS / 2) {
            bytes = Math.min(MAX_BYTES, 2 * bytes);
        }
        parts = 0;
    }
}
