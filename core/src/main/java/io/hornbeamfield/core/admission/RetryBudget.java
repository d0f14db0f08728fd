package io.hornbeamfield.core.admission;

/**
 * Token bucket that limits retries to a ratio of the requests, so that retries cannot amplify an overload. Thread-safe.
 *
 * <pre>{@code
 * retries.requestStarted(preset.retryRatio());
 * if (retries.tryRetry()) { ... }
 * }</pre>
 */
public final class RetryBudget {
    private final double maxTokens;
    private double tokens;

    /** Creates a full budget; {@code maxTokens} bounds the retries that are possible without new requests. */
    public RetryBudget(double maxTokens) {
        this.maxTokens = maxTokens;
        this.tokens = maxTokens;
    }

    /** Adds the tokens that a new request earns. */
    public synchronized void requestStarted(double retryRatio) {
        tokens = Math.min(maxTokens, tokens + retryRatio);
    }

    /** Consumes the token of a retry. Returns whether one was available. */
    public synchronized boolean tryRetry() {
        // Ten requests at a ratio of 0.1 add up to slightly less than 1 in floating-point arithmetic.
        if (tokens < 1 - 1e-9) {
            return false;
        }
        tokens = Math.max(0, tokens - 1);
        return true;
    }

    /** Returns the number of retries that are available. */
    public synchronized double available() {
        return tokens;
    }
}
