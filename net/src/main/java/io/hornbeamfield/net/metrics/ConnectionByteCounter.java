package io.hornbeamfield.net.metrics;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ConnectionProbe;

/** Counts the bytes that the connections of a transport send. What they receive is counted where it is read. */
public final class ConnectionByteCounter extends ConnectionProbe.Adapter {
    private final TransferredBytes bytes;

    public ConnectionByteCounter(TransferredBytes bytes) {
        this.bytes = bytes;
    }

    @Override
    public void onWriteEvent(Connection connection, Buffer data, long size) {
        bytes.addSent(size);
    }
}
