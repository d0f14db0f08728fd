package io.hornbeamfield.core.attempt;

/** How an attempt at a backend server ended. */
public enum AttemptOutcome {
    /** No connection was made, so nothing was sent. */
    NOT_CONNECTED,
    /** The server said that it did not run the request. */
    DECLINED,
    /** A whole answer arrived. */
    ANSWERED,
    /** A whole answer arrived that reports a failure of the server. */
    ANSWERED_FAILURE,
    /** The request was sent, and no usable answer arrived: the connection ended, or the bytes were not an answer. */
    BROKEN,
    /** The request was sent, and nothing arrived within the time that an attempt may take. */
    SILENT
}
