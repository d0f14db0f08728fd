package io.hornbeamfield.net.http.internal;

import io.hornbeamfield.net.metrics.TransferredBytes;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Reads from connections and closes them with the reason why no more can be read: an {@link EOFException} only after an
 * orderly close. Grizzly's own filter gives the same reason after a reset.
 */
final class ReadFilter extends TransportFilter {
    private static final int READ_BUFFER_BYTES = 64 * 1024;

    private final TransferredBytes transferred;
    private final ThreadLocal<ByteBuffer> buffers =
            ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(READ_BUFFER_BYTES));

    ReadFilter(TransferredBytes transferred) {
        this.transferred = transferred;
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        NIOConnection connection = (NIOConnection) ctx.getConnection();
        ByteBuffer buffer = buffers.get().clear();
        try {
            int read = ((SocketChannel) connection.getChannel()).read(buffer);
            if (read < 0) {
                throw new EOFException("The server closed the connection.");
            }
        } catch (IOException e) {
            connection.terminateWithReason(e);
            return ctx.getStopAction();
        }
        if (buffer.position() == 0) {
            return ctx.getStopAction();
        }
        byte[] bytes = new byte[buffer.flip().remaining()];
        transferred.addReceived(bytes.length);
        buffer.get(bytes);
        ctx.setMessage(Buffers.wrap(null, bytes));
        return ctx.getInvokeAction();
    }
}
