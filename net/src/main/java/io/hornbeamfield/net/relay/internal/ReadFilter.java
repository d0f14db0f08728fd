package io.hornbeamfield.net.relay.internal;

import io.hornbeamfield.core.attempt.BufferPool;
import io.hornbeamfield.core.attempt.ReadSize;
import io.hornbeamfield.net.metrics.TransferredBytes;
import io.hornbeamfield.net.relay.Serial;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Reads from connections, as much at once as their input allows, and records how they were closed. Grizzly's own filter
 * reports a reset like an orderly close, but a response without a length is complete only after an orderly close.
 */
final class ReadFilter extends TransportFilter {
    /** Shared by all connections, since the transport reads them on a single thread. */
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(ReadSize.MAX_BYTES);

    private final TransferredBytes transferred;
    private final Serial serial;
    private final BufferPool pool;
    private final Consumer<Connection<?>> onExcess;

    /**
     * Creates a filter.
     *
     * @param transferred counts what is read
     * @param pool pool of the input that is kept until it can be handled, guarded by the serial
     * @param onExcess ends a connection that has sent too much without content, or of which too much is kept
     */
    ReadFilter(TransferredBytes transferred, Serial serial, BufferPool pool, Consumer<Connection<?>> onExcess) {
        this.transferred = transferred;
        this.serial = serial;
        this.pool = pool;
        this.onExcess = onExcess;
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        NIOConnection connection = (NIOConnection) ctx.getConnection();
        ConnectionInput input = ConnectionInput.of(connection);
        int read;
        try {
            readBuffer.clear().limit(input.nextReadBytes());
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
        transferred.addReceived(read);
        if (!input.readReceived(read)) {
            onExcess.accept(connection);
            return ctx.getStopAction();
        }
        if (input.isIncomplete()) {
            input.keep(() -> new UnparsedInput(serial, pool, () -> onExcess.accept(connection)));
            if (!connection.isOpen()) {
                input.clearKept();
                return ctx.getStopAction();
            }
        }
        byte[] bytes = new byte[read];
        readBuffer.flip().get(bytes);
        ctx.setMessage(Buffers.wrap(null, bytes));
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) throws IOException {
        ConnectionInput.of(ctx.getConnection()).clearKept();
        return super.handleClose(ctx);
    }

    private static NextAction closeAfter(FilterChainContext ctx, ConnectionEnd end) {
        ConnectionEnd.OF.set(ctx.getConnection(), end);
        ctx.getConnection().terminateSilently();
        return ctx.getStopAction();
    }
}
