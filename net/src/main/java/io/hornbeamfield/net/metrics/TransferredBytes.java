package io.hornbeamfield.net.metrics;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts what connections receive and send, without the overhead of TCP. Thread-safe.
 *
 * <pre>{@code
 * TransferredBytes bytes = new TransferredBytes();
 * bytes.addReceived(1_460);
 * bytes.received();
 * }</pre>
 */
public final class TransferredBytes {
    private final LongAdder received = new LongAdder();
    private final LongAdder sent = new LongAdder();

    /** Counts bytes that have been received. */
    public void addReceived(long bytes) {
        received.add(bytes);
    }

    /** Counts bytes that have been sent. */
    public void addSent(long bytes) {
        sent.add(bytes);
    }

    /** Returns the number of bytes received so far. */
    public long received() {
        return received.sum();
    }

    /** Returns the number of bytes sent so far. */
    public long sent() {
        return sent.sum();
    }
}
