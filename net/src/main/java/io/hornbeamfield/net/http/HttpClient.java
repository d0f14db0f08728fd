package io.hornbeamfield.net.http;

import io.hornbeamfield.net.http.internal.GrizzlyHttpClient;
import java.util.concurrent.CompletableFuture;

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

    /** Creates a client whose thread names start with the given name. */
    static HttpClient create(String name) {
        return GrizzlyHttpClient.start(name);
    }

    /** Sends a request and buffers the whole response. The future fails with a {@link CallFailure}. */
    CompletableFuture<HttpReply> send(HttpCall call);

    /** Sends a request and passes the response to the listener as it arrives. */
    OpenStream open(HttpCall call, StreamListener listener);

    @Override
    void close();
}
