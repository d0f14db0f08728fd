package io.hornbeamfield.net.http;

import java.util.Map;
import java.util.Optional;

/** A received request and the means to answer it, from any thread, exactly once. */
public interface HttpExchange {
    /** Returns the HTTP method. */
    String method();

    /** Returns the decoded path without the query. */
    String path();

    /** Returns a query parameter. */
    Optional<String> query(String name);

    /** Returns the query as it was sent, without the question mark. */
    Optional<String> rawQuery();

    /** Returns a header, whatever the case of its name. */
    Optional<String> header(String name);

    /** Returns the whole body. */
    byte[] body();

    /** Sends a whole response with headers. */
    void reply(int status, Map<String, String> headers, byte[] body);

    /** Sends a whole JSON response. */
    default void replyJson(int status, byte[] json) {
        reply(status, Map.of("Content-Type", "application/json"), json);
    }

    /** Starts a streamed response. */
    ResponseStream startStream(int status, Map<String, String> headers);

    /** Registers an action that runs when the caller closes its connection before the answer is complete. */
    void onDisconnect(Runnable action);
}
