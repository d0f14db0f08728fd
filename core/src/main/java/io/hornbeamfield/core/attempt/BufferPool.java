package io.hornbeamfield.core.attempt;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;

/**
 * Bounds the memory that answers occupy together while they are collected or wait for slow callers. When they occupy
 * too much, those with the most are ended, so that small ones are not affected. Not thread-safe.
 *
 * <pre>{@code
 * pool.add(holder);
 * pool.grown(part.length);
 * pool.remove(holder);
 * }</pre>
 */
public final class BufferPool {
    private final long limitBytes;
    private final Set<Holder> holders = new HashSet<>();

    /** Bytes that were added since the last count, and all that there were then. Released bytes are not deducted. */
    private long upperBoundBytes;

    /** One answer. */
    public interface Holder {
        /** Returns the number of bytes that the answer occupies now. */
        long bufferedBytes();

        /** Ends the answer and releases its bytes; the pool has removed it. */
        void release();
    }

    /** Creates a pool of the given size. */
    public BufferPool(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Adds an answer. */
    public void add(Holder holder) {
        holders.add(holder);
    }

    /** Removes an answer that has ended. */
    public void remove(Holder holder) {
        holders.remove(holder);
    }

    /** Records that one of the answers has grown, and ends the largest ones if they occupy too much together. */
    public void grown(int bytes) {
        upperBoundBytes += bytes;
        if (upperBoundBytes <= limitBytes) {
            return;
        }
        upperBoundBytes = holders.stream().mapToLong(Holder::bufferedBytes).sum();
        while (upperBoundBytes > limitBytes && !holders.isEmpty()) {
            releaseLargest();
        }
    }

    private void releaseLargest() {
        Holder largest = holders.stream()
                .max(Comparator.comparingLong(Holder::bufferedBytes))
                .orElseThrow();
        upperBoundBytes -= largest.bufferedBytes();
        holders.remove(largest);
        largest.release();
    }
}
