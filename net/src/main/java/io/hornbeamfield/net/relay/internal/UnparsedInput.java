package io.hornbeamfield.net.relay.internal;

import io.hornbeamfield.core.attempt.BufferPool;
import io.hornbeamfield.net.relay.Serial;

/** The bytes of one connection that the codec keeps until they are a whole head or content. */
final class UnparsedInput implements BufferPool.Holder {
    /** Memory of the buffer of a read beside its bytes. */
    private static final int READ_COST_BYTES = 128;

    private final Serial serial;
    private final BufferPool pool;
    private final Runnable onExcess;
    private long bytes;

    /** Creates an empty input in a pool that the serial guards. */
    UnparsedInput(Serial serial, BufferPool pool, Runnable onExcess) {
        this.serial = serial;
        this.pool = pool;
        this.onExcess = onExcess;
    }

    void add(int readBytes) {
        serial.run(() -> {
            bytes += readBytes + READ_COST_BYTES;
            pool.add(this);
            pool.grown(readBytes + READ_COST_BYTES);
        });
    }

    void clear() {
        serial.run(() -> {
            bytes = 0;
            pool.remove(this);
        });
    }

    @Override
    public long bufferedBytes() {
        return bytes;
    }

    @Override
    public void release() {
        bytes = 0;
        onExcess.run();
    }
}
