package io.hornbeamfield.net.http;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/** A received request and its response. The response may be sent from any thread, once. */
public interface HttpExchange {
    /** Returns the HTTP method. */
    String method();

    /** Returns the decoded path without the query. */
    String path();

    /** Returns a query parameter. */
    Optional<String> query(String name);

    /** Returns the query string as received, without the question mark. */
    Optional<String> rawQuery();

    /** Returns a header; its name is case-insensitive. */
    Optional<String> header(String name);

    /** Returns the whole body. */
    byte[] body();

    /**
     * Returns the time since the request arrived. If the server was held up, this is the longest time for which the
     * request may have been in its socket.
     */
    Duration age();

    /** Sends a complete response with headers. */
    void reply(int status, Map<String, String> headers, byte[] body);

    /** Sends a complete JSON response. */
    default void replyJson(int status, byte[] json) {
        reply(status, Map.of("Content-Type", "application/json"), json);
    }

    /** Starts a streamed response. */
    ResponseStream startStream(int status, Map<String, String> headers);

    /** Registers an action that runs if the caller closes its connection before the response is complete. */
    void onDisconnect(Runnable action);
}
