package io.hornbeamfield.core.attempt;

/** How an attempt at a backend server ended. */
public enum AttemptOutcome {
    /** The connection could not be established, so nothing was sent. */
    NOT_CONNECTED,
    /** The server rejected the request without running it. */
    DECLINED,
    /** A complete answer arrived. */
    ANSWERED,
    /** A complete answer arrived that reports a server error. */
    ANSWERED_FAILURE,
    /**
     * A complete answer arrived whose status promises that the request has not run, but the server does not state that
     * it did not run it.
     */
    UNPROVEN_REFUSAL,
    /** A complete answer arrived that does not continue the stream of which the caller has received a part. */
    OTHER_ANSWER,
    /** The request was sent, but no valid answer arrived: the connection was closed or the response was malformed. */
    BROKEN,
    /** The request was sent, but nothing arrived before the attempt timed out. */
    SILENT;

    /** Returns whether the server may have run the request, or may still run it. */
    public boolean mayHaveRun() {
        return this != NOT_CONNECTED && this != DECLINED;
    }
}
