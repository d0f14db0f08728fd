package io.hornbeamfield.core.budget;

/**
 * Input of a {@link SliceSizer} for one budget at one router: the demand rate, the total reservation of the waiting
 * requests, the tokens available in the allotment, the free and granted tokens of the last record read, and the number
 * of live routers.
 */
public record SizingInput(
        double tokensPerSecond, long waitingTokens, long available, long free, long granted, int liveRouters) {

    /** Returns a copy with the given number of free tokens. */
    public SizingInput withFree(long tokens) {
        return new SizingInput(tokensPerSecond, waitingTokens, available, tokens, granted, liveRouters);
    }
}
