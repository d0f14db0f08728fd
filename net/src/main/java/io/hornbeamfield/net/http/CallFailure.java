package io.hornbeamfield.net.http;

/**
 * Signals that a request received no complete response. {@link Kind#CONNECT_FAILED} is the only kind that guarantees
 * that the request was not sent.
 */
public final class CallFailure extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** How a request failed. */
    public enum Kind {
        /** No connection was established, so the request was not sent. */
        CONNECT_FAILED,
        /** The connection was closed before the response was complete; the server may have processed the request. */
        BROKEN,
        /** The response did not arrive within the timeout; the server may have processed the request. */
        TIMED_OUT
    }

    private final Kind kind;

    public CallFailure(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    /** Returns the kind of failure. */
    public Kind kind() {
        return kind;
    }

    /** Returns whether it is certain that the request did not reach the server. */
    public boolean nothingSent() {
        return kind == Kind.CONNECT_FAILED;
    }
}
