package io.hornbeamfield.net.http;

/**
 * A request that got no whole response. {@link Kind#CONNECT_FAILED} is the only kind for which the request was
 * certainly not sent.
 */
public final class CallFailure extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** How a request failed. */
    public enum Kind {
        /** No connection was made, so nothing was sent. */
        CONNECT_FAILED,
        /** The connection closed before the whole response arrived. */
        BROKEN,
        /** The response did not arrive within the timeout. */
        TIMED_OUT
    }

    private final Kind kind;

    public CallFailure(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    /** Returns how the request failed. */
    public Kind kind() {
        return kind;
    }

    /** Returns whether the request certainly did not reach the server. */
    public boolean nothingSent() {
        return kind == Kind.CONNECT_FAILED;
    }
}
