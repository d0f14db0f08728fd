package io.hornbeamfield.net.relay.internal;

import java.util.function.Consumer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.http.HttpContent;

/** Writes to connections of any address type. */
final class Writes {
    private Writes() {}

    static <A> void write(
            Connection<A> connection, HttpContent content, Runnable onWritten, Consumer<Throwable> onFailed) {
        connection.write(content, new EmptyCompletionHandler<WriteResult<HttpContent, A>>() {
            @Override
            public void completed(WriteResult<HttpContent, A> result) {
                onWritten.run();
            }

            @Override
            public void failed(Throwable cause) {
                onFailed.accept(cause);
            }
        });
    }
}
