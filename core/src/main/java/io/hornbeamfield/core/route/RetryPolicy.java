package io.hornbeamfield.core.route;

/** Whether a request of a route may run more than once, and whether its answer is a stream. */
public enum RetryPolicy {
    /** The request may run any number of times. */
    IDEMPOTENT,
    /** The request may run at most once. */
    NON_IDEMPOTENT,
    /** The answer is a stream of events, and the request may run at most once. */
    STREAM,
    /** The answer is a stream of events that may be resumed at another backend server after its last event. */
    RESUMABLE_STREAM;

    /** Returns whether a request that may have run may be retried. */
    public boolean allowsRerun() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }

    /** Returns whether the answer is a stream of events. */
    public boolean isStream() {
        return this == STREAM || this == RESUMABLE_STREAM;
    }
}
