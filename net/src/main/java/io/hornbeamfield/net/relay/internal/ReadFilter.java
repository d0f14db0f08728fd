package io.hornbeamfield.net.relay.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Reads from connections and records how they were closed. Grizzly's own filter reports a reset like an orderly close,
 * but a response without a length is complete only after an orderly close.
 */
final class ReadFilter extends TransportFilter {
    private static final int READ_BYTES = 32 * 1024;

    /** Shared by all connections, since the transport reads them on a single thread. */
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BYTES);

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        NIOConnection connection = (NIOConnection) ctx.getConnection();
        int read;
        try {
            readBuffer.clear();
            read = ((SocketChannel) connection.getChannel()).read(readBuffer);
        } catch (IOException e) {
            return closeAfter(ctx, ConnectionEnd.RESET);
        }
        if (read < 0) {
            return closeAfter(ctx, ConnectionEnd.ORDERLY);
        }
        if (read == 0) {
            return ctx.getStopAction();
        }
        byte[] bytes = new byte[read];
        readBuffer.flip().get(bytes);
        ctx.setMessage(Buffers.wrap(null, bytes));
        return ctx.getInvokeAction();
    }

    private static NextAction closeAfter(FilterChainContext ctx, ConnectionEnd end) {
        ConnectionEnd.OF.set(ctx.getConnection(), end);
        ctx.getConnection().terminateSilently();
        return ctx.getStopAction();
    }
}
