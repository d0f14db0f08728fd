package io.hornbeamfield.core.route;

/** What may be repeated of the requests of a route. */
public enum RetryPolicy {
    /** May run any number of times. */
    IDEMPOTENT,
    /** May run at most once. */
    NON_IDEMPOTENT,
    /** A stream of events that may run at most once. */
    STREAM,
    /** A stream of events that may go on at another backend server after its last event. */
    RESUMABLE_STREAM;

    /** Returns whether a request that may have run may be sent again. */
    public boolean allowsRerun() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }

    /** Returns whether the answer is a stream of events. */
    public boolean isStream() {
        return this == STREAM || this == RESUMABLE_STREAM;
    }
}
