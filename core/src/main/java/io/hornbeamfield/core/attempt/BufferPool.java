package io.hornbeamfield.core.attempt;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Bounds the memory that messages occupy together while they are collected or wait for slow receivers, for example the
 * answers of servers. When they occupy too much, those with the most are ended, so that small ones are not affected,
 * unless their holders give another order. Not thread-safe.
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

    /** One message. */
    public interface Holder {
        /** Returns the number of bytes that the message occupies now. */
        long bufferedBytes();

        /** Returns whether the message may be ended. Others count and are kept. */
        default boolean mayBeReleased() {
            return true;
        }

        /** Returns a number that is larger the sooner the message is ended. */
        default long releaseOrder() {
            return bufferedBytes();
        }

        /** Ends the message and releases its bytes; the pool has removed it. */
        void release();
    }

    /** Creates a pool of the given size. */
    public BufferPool(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Adds a message. */
    public void add(Holder holder) {
        holders.add(holder);
    }

    /** Removes a message that has ended. */
    public void remove(Holder holder) {
        holders.remove(holder);
    }

    /** Records that one of the messages has grown, and ends the largest ones if they occupy too much together. */
    public void grown(int bytes) {
        upperBoundBytes += bytes;
        if (upperBoundBytes <= limitBytes) {
            return;
        }
        upperBoundBytes = holders.stream().mapToLong(Holder::bufferedBytes).sum();
        while (upperBoundBytes > limitBytes) {
            Optional<Holder> next =
                    holders.stream().filter(Holder::mayBeReleased).max(Comparator.comparingLong(Holder::releaseOrder));
            if (next.isEmpty()) {
                return;
            }
            release(next.get());
        }
    }

    private void release(Holder holder) {
        upperBoundBytes -= holder.bufferedBytes();
        holders.remove(holder);
        holder.release();
    }
}
