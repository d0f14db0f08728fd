package io.hornbeamfield.core.attempt;

/** The step that follows the end of an attempt. */
public enum NextStep {
    /** Relay the server's answer to the caller. */
    DELIVER,
    /** Send the request to another server. */
    SEND_AGAIN,
    /** Resume the stream at another server after the last event that was relayed. */
    RESUME,
    /** Refuse the request: it has not run and never will. */
    REFUSE,
    /** Fail the request: it is not known whether it ran. */
    FAIL,
    /** Abort the caller's connection, so that the partial answer does not look complete. */
    CUT
}
