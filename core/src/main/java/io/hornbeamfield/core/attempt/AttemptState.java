package io.hornbeamfield.core.attempt;

import io.hornbeamfield.core.route.RetryPolicy;

/**
 * A request after one of its attempts has ended.
 *
 * @param retryPolicy what may be repeated
 * @param possibleRuns servers that may have run the request, the last attempt included
 * @param maxAttempts most servers that may run it
 * @param partialAnswerSent whether the caller has got a part of an answer
 * @param timeLeft whether another attempt could still end in time
 * @param retryAllowed whether the retry budget allows one more attempt
 */
public record AttemptState(
        RetryPolicy retryPolicy,
        int possibleRuns,
        int maxAttempts,
        boolean partialAnswerSent,
        boolean timeLeft,
        boolean retryAllowed) {

    boolean mayRetry() {
        return timeLeft && retryAllowed;
    }

    boolean mayRerun() {
        return mayRetry() && retryPolicy.allowsRerun() && possibleRuns < maxAttempts;
    }
}
