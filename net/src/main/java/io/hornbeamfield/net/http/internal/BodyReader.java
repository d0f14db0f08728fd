package io.hornbeamfield.net.http.internal;

import io.hornbeamfield.net.http.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.Consumer;
import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.io.NIOInputStream;
import org.glassfish.grizzly.http.server.Request;

/** Reads a request body with non-blocking I/O. */
final class BodyReader implements ReadHandler {
    private final NIOInputStream in;
    private final Consumer<byte[]> onBody;
    private final ByteArrayOutputStream collected = new ByteArrayOutputStream();

    private BodyReader(NIOInputStream in, Consumer<byte[]> onBody) {
        this.in = in;
        this.onBody = onBody;
    }

    static void read(Request request, Consumer<byte[]> onBody) {
        NIOInputStream in = request.getNIOInputStream();
        in.notifyAvailable(new BodyReader(in, onBody));
    }

    @Override
    public void onDataAvailable() throws IOException {
        readAvailable();
        in.notifyAvailable(this);
    }

    @Override
    public void onAllDataRead() throws IOException {
        readAvailable();
        onBody.accept(collected.toByteArray());
    }

    @Override
    public void onError(Throwable t) {
        // The caller disconnected before its request was complete, so no handler has been called.
        collected.reset();
    }

    private void readAvailable() throws IOException {
        byte[] buffer = new byte[8192];
        while (in.isReady()) {
            int n = in.read(buffer);
            if (n <= 0) {
                return;
            }
            // Keeps one byte above the limit, by which the dispatcher detects a body that is too large.
            int remaining = HttpServer.MAX_BODY_BYTES + 1 - collected.size();
            collected.write(buffer, 0, Math.min(n, Math.max(remaining, 0)));
        }
    }
}
