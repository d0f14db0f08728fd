package io.hornbeamfield.core.budget;

/**
 * What a {@link SliceSizer} knows about one budget at one router: the demand, the tokens needed at once by waiting
 * requests, the tokens available here, and the budget's free and granted tokens when last seen.
 */
public record SizingInput(
        double tokensPerSecond, long waitingTokens, long available, long free, long granted, int liveRouters) {

    /** Returns the same demand as if the given number of tokens were free. */
    public SizingInput withFree(long tokens) {
        return new SizingInput(tokensPerSecond, waitingTokens, available, tokens, granted, liveRouters);
    }
}
