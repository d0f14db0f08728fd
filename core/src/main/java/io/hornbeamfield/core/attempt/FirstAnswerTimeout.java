package io.hornbeamfield.core.attempt;

import io.hornbeamfield.core.route.RetryPolicy;

/** Time without the start of an answer after which a request that may run again is sent to another backend server. */
public final class FirstAnswerTimeout {
    /** Leaves a second server enough of the latency objective for a typical response. */
    private static final double CALL_FACTOR = 0.7;

    /** A busy engine may take up to this multiple of the objective to the first event, which is late by then. */
    private static final double STREAM_FACTOR = 3;

    private FirstAnswerTimeout() {}

    /** Returns the timeout in milliseconds of a route with the given retry policy and latency objective. */
    public static long ms(RetryPolicy policy, long objectiveMs) {
        return (long) (objectiveMs * (policy.isStream() ? STREAM_FACTOR : CALL_FACTOR));
    }
}
