package io.hornbeamfield.net.http.internal;

import io.hornbeamfield.net.http.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.Consumer;
import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.io.NIOInputStream;
import org.glassfish.grizzly.http.server.Request;

/** Collects a request body without blocking a thread. */
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
        drain();
        in.notifyAvailable(this);
    }

    @Override
    public void onAllDataRead() throws IOException {
        drain();
        onBody.accept(collected.toByteArray());
    }

    @Override
    public void onError(Throwable t) {
        // The caller is gone before its request was complete; nothing was started for it.
        collected.reset();
    }

    private void drain() throws IOException {
        byte[] part = new byte[8192];
        while (in.isReady()) {
            int n = in.read(part);
            if (n <= 0) {
                return;
            }
            // One byte over the limit is kept, so that the dispatcher can refuse the request.
            int room = HttpServer.MAX_BODY_BYTES + 1 - collected.size();
            collected.write(part, 0, Math.min(n, Math.max(room, 0)));
        }
    }
}
