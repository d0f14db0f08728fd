package io.hornbeamfield.net.http.internal;

import io.hornbeamfield.net.http.ResponseStream;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Writes a response through Grizzly, in chunks. For a caller that cannot read chunks, the body ends with the
 * connection, which is therefore reset unless the response is complete, also if this process ends.
 */
final class GrizzlyResponseStream implements ResponseStream {
    private static final int RESET_AT_CLOSE = 0;
    private static final int ORDERLY_CLOSE = -1;

    private final Connection<?> connection;
    private final Response response;
    private final Runnable onFinished;
    private final boolean endsWithConnection;
    private boolean closed;

    GrizzlyResponseStream(Connection<?> connection, Response response, Runnable onFinished) {
        this.connection = connection;
        this.response = response;
        this.onFinished = onFinished;
        this.endsWithConnection = response.getRequest().getProtocol() != Protocol.HTTP_1_1;
        linger(RESET_AT_CLOSE);
    }

    private void linger(int seconds) {
        if (!endsWithConnection) {
            return;
        }
        try {
            ((SocketChannel) ((NIOConnection) connection).getChannel())
                    .setOption(StandardSocketOptions.SO_LINGER, seconds);
        } catch (IOException e) {
            connection.terminateSilently();
        }
    }

    @Override
    public synchronized boolean write(byte[] part) {
        if (closed || !connection.isOpen()) {
            return false;
        }
        try {
            response.getOutputStream().write(part);
            response.getOutputStream().flush();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public synchronized void end() {
        if (!closed) {
            closed = true;
            linger(ORDERLY_CLOSE);
            onFinished.run();
        }
    }

    @Override
    public synchronized void abort() {
        if (!closed) {
            closed = true;
            connection.terminateSilently();
            onFinished.run();
        }
    }
}
