package io.hornbeamfield.net.http;

import io.hornbeamfield.net.http.internal.GrizzlyHttpClient;
import io.hornbeamfield.net.metrics.TransferredBytes;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/**
 * Asynchronous HTTP/1.1 client with a pool of keep-alive connections.
 *
 * <pre>{@code
 * try (HttpClient client = HttpClient.create("router")) {
 *     HttpReply reply = client.send(HttpCall.get("http://127.0.0.1:8080/health").build()).join();
 * }
 * }</pre>
 */
public interface HttpClient extends AutoCloseable {
    /** Leaves room for the copies that are made while replies grow. */
    long REPLIES_PER_HEAP = 8;

    /** Creates a client whose thread names start with the given name. Its replies occupy an eighth of the heap. */
    static HttpClient create(String name) {
        return create(name, Runtime.getRuntime().maxMemory() / REPLIES_PER_HEAP);
    }

    /**
     * Creates a client whose thread names start with the given name.
     *
     * @param maxReplyBytes bytes of all replies that are buffered at the same time; beyond that the largest fail
     */
    static HttpClient create(String name, long maxReplyBytes) {
        return GrizzlyHttpClient.start(name, maxReplyBytes, new TransferredBytes());
    }

    /** Creates a client whose thread names start with the given name and that counts the bytes that it transfers. */
    static HttpClient create(String name, TransferredBytes transferred) {
        return GrizzlyHttpClient.start(name, Runtime.getRuntime().maxMemory() / REPLIES_PER_HEAP, transferred);
    }

    /** Sends a request and buffers the whole response. The future fails with a {@link CallFailure}. */
    CompletableFuture<HttpReply> send(HttpCall call);

    /** Sends a request and passes the response to the listener as it arrives. */
    OpenStream open(HttpCall call, StreamListener listener);

    /**
     * Sends a request and passes the response to the listener on an executor that runs one action after the other. The
     * response fails if the executor falls too far behind it.
     */
    OpenStream open(HttpCall call, Executor executor, StreamListener listener);

    @Override
    void close();
}
