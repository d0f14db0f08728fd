package io.hornbeamfield.core.admission;

/**
 * Limits retries to a share of the requests, so that retries cannot multiply an overload. Thread-safe.
 *
 * <pre>{@code
 * retries.requestStarted(preset.retryRatio());
 * if (retries.tryRetry()) { ... }
 * }</pre>
 */
public final class RetryBudget {
    private final double maxTokens;
    private double tokens;

    /** Creates a full budget; {@code maxTokens} bounds the retries that may follow each other without new requests. */
    public RetryBudget(double maxTokens) {
        this.maxTokens = maxTokens;
        this.tokens = maxTokens;
    }

    /** Earns the share of a retry that a new request is worth. */
    public synchronized void requestStarted(double retryRatio) {
        tokens = Math.min(maxTokens, tokens + retryRatio);
    }

    /** Spends a retry. Returns whether one was left. */
    public synchronized boolean tryRetry() {
        // Ten requests at a ratio of 0.1 add up to a little less than 1 in binary fractions.
        if (tokens < 1 - 1e-9) {
            return false;
        }
        tokens = Math.max(0, tokens - 1);
        return true;
    }

    /** Returns the retries that are left. */
    public synchronized double available() {
        return tokens;
    }
}
