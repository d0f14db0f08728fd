package io.hornbeamfield.net.relay;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A request whose body has been received in full. It is answered exactly once: either with {@link #reply}, or with
 * {@link #start}, any number of calls of {@link #write}, and finally {@link #end} or {@link #cut}.
 */
public interface InboundRequest {
    /** Returns the method. */
    String method();

    /** Returns the request target (path and query) as received. */
    String target();

    /** Returns the path as received. */
    String path();

    /** Returns the query string as received, without the question mark; empty if there is none. */
    String query();

    /** Returns all headers in the order received. */
    List<Header> headers();

    /** Returns the value of the first header with the given name, or null if there is none. */
    @Nullable
    String header(String name);

    /** Returns the body with its transfer coding removed. */
    byte[] body();

    /**
     * Returns the time in milliseconds since the first byte of the request arrived. If the transport was held up, this
     * is the longest time for which the request may have been in its socket.
     */
    long ageMs();

    /** Returns whether the caller's connection is closed. */
    boolean callerGone();

    /** Registers an action to run if the caller's connection closes before the response is complete. */
    void onCallerGone(Runnable action);

    /**
     * Runs an action after the input that has arrived from the caller so far has been handled, so that
     * {@link #callerGone} is true in it if the caller had closed its connection before.
     */
    void afterPendingInput(Runnable action);

    /** Sends a complete response. */
    void reply(int status, List<Header> headers, byte[] body);

    /** Starts a response of unknown length, sent with chunked transfer coding. */
    void start(int status, List<Header> headers);

    /** Sends a part of the response body. */
    void write(byte[] part);

    /** Returns the number of response bytes that are queued but not yet written to the socket. */
    long unsentBytes();

    /** Completes the response. */
    void end();

    /** Closes the connection without completing the response, so that the caller sees it as truncated. */
    void cut();

    /**
     * Closes the connection after the response, and announces this in the response headers unless they have been sent.
     */
    void closeAfterAnswer();
}
