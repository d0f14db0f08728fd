package io.hornbeamfield.net.http.internal;

import io.hornbeamfield.net.http.ResponseStream;
import java.io.IOException;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.server.Response;

/** Writes a chunked response through Grizzly. */
final class GrizzlyResponseStream implements ResponseStream {
    private final Connection<?> connection;
    private final Response response;
    private final Runnable onFinished;
    private boolean closed;

    GrizzlyResponseStream(Connection<?> connection, Response response, Runnable onFinished) {
        this.connection = connection;
        this.response = response;
        this.onFinished = onFinished;
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
