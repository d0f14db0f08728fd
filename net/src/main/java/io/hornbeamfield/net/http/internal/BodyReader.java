package io.hornbeamfield.net.http.internal;

import io.hornbeamfield.core.attempt.BufferPool;
import io.hornbeamfield.net.http.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.Consumer;
import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.io.NIOInputStream;
import org.glassfish.grizzly.http.server.Request;

/** Reads a request body with non-blocking I/O. */
final class BodyReader implements ReadHandler, BufferPool.Holder {
    /** A caller whose body is larger than the limit gets the reply only if it can send the whole body. */
    private static final long MAX_READ_BYTES = 2L * HttpServer.MAX_BODY_BYTES;

    private final NIOInputStream in;
    private final RequestBodies bodies;
    private final Runnable closeConnection;
    private final Consumer<byte[]> onBody;
    private final ByteArrayOutputStream collected = new ByteArrayOutputStream();
    private volatile int collectedBytes;
    private volatile boolean released;
    private long receivedBytes;

    private BodyReader(NIOInputStream in, RequestBodies bodies, Runnable closeConnection, Consumer<byte[]> onBody) {
        this.in = in;
        this.bodies = bodies;
        this.closeConnection = closeConnection;
        this.onBody = onBody;
    }

    static void read(Request request, RequestBodies bodies, Runnable closeConnection, Consumer<byte[]> onBody) {
        NIOInputStream in = request.getNIOInputStream();
        in.notifyAvailable(new BodyReader(in, bodies, closeConnection, onBody));
    }

    @Override
    public void onDataAvailable() throws IOException {
        readAvailable();
        if (!released) {
            in.notifyAvailable(this);
        }
    }

    @Override
    public void onAllDataRead() throws IOException {
        readAvailable();
        finish();
    }

    @Override
    public void onError(Throwable t) {
        // The caller disconnected before its request was complete, so no handler has been called.
        bodies.remove(this);
        collected.reset();
    }

    private void finish() {
        bodies.remove(this);
        if (!released) {
            onBody.accept(collected.toByteArray());
        }
    }

    private void readAvailable() throws IOException {
        byte[] buffer = new byte[8192];
        while (in.isReady() && !released) {
            int n = in.read(buffer);
            if (n <= 0) {
                return;
            }
            receivedBytes += n;
            if (receivedBytes > MAX_READ_BYTES) {
                release();
            }
            // Keeps one byte above the limit, by which the dispatcher detects a body that is too large.
            int kept = Math.min(n, Math.max(HttpServer.MAX_BODY_BYTES + 1 - collected.size(), 0));
            collected.write(buffer, 0, kept);
            collectedBytes = collected.size();
            bodies.grown(this, kept);
        }
    }

    @Override
    public long bufferedBytes() {
        return collectedBytes;
    }

    /** Closes the connection. */
    @Override
    public void release() {
        released = true;
        closeConnection.run();
    }
}
