package io.hornbeamfield.core.attempt;

import io.hornbeamfield.core.route.RetryPolicy;

/**
 * The state of a request after one of its attempts has ended.
 *
 * @param retryPolicy whether the request may run more than once
 * @param possibleRuns number of servers that may have run the request, including the last attempt
 * @param maxAttempts largest number of servers that may run the request
 * @param partialAnswerSent whether the caller has received part of an answer
 * @param timeLeft whether another attempt can still finish before the deadline
 * @param retryAllowed whether the retry budget allows another attempt
 */
public record AttemptState(
        RetryPolicy retryPolicy,
        int possibleRuns,
        int maxAttempts,
        boolean partialAnswerSent,
        boolean timeLeft,
        boolean retryAllowed) {

    /** Returns whether the time and the retry budget allow another attempt. */
    boolean mayRetry() {
        return timeLeft && retryAllowed;
    }

    /** Returns whether another attempt is allowed after one that may have run the request. */
    boolean mayRerun() {
        return mayRetry() && retryPolicy.allowsRerun() && possibleRuns < maxAttempts;
    }
}
