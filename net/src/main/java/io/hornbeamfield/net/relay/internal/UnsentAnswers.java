package io.hornbeamfield.net.relay.internal;

import io.hornbeamfield.core.attempt.BufferPool;
import io.hornbeamfield.core.time.MonotonicClock;
import java.time.Clock;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bounds the memory of answers that wait for callers that read slowly or not at all. When they occupy too much, the
 * connections on which most has waited longest are closed, so that callers that read a new answer are not affected.
 * Runs under the serial, unless a method says otherwise.
 */
final class UnsentAnswers {
    private final BufferPool pool;
    private final Clock clock = MonotonicClock.start();
    private final AtomicInteger closed = new AtomicInteger();

    UnsentAnswers(long maxBytes) {
        this.pool = new BufferPool(maxBytes);
    }

    /** The unsent answers of one connection. */
    final class OfConnection implements BufferPool.Holder {
        private final InboundState state;
        private volatile long unsentSinceMs;

        private OfConnection(InboundState state) {
            this.state = state;
            pool.add(this);
        }

        /** Records that a part of an answer is queued while none was. Callable from any thread. */
        void begun() {
            unsentSinceMs = clock.millis();
        }

        /** Records that an answer was passed to the connection. */
        void grown() {
            long bytes = bufferedBytes();
            if (bytes > 0) {
                pool.grown((int) Math.min(bytes, Integer.MAX_VALUE));
            }
        }

        void remove() {
            pool.remove(this);
        }

        @Override
        public long bufferedBytes() {
            return state.unsent().get();
        }

        @Override
        public long releaseOrder() {
            return bufferedBytes() * (1 + clock.millis() - unsentSinceMs);
        }

        @Override
        public void release() {
            closed.incrementAndGet();
            state.terminate();
        }
    }

    OfConnection add(InboundState state) {
        return new OfConnection(state);
    }

    /** Returns how many connections have been closed. Callable from any thread. */
    int closedConnections() {
        return closed.get();
    }
}
