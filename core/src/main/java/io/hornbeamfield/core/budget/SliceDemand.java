package io.hornbeamfield.core.budget;

/**
 * What a {@link SliceSizer} knows about one budget at one router: the demand, the tokens needed at once by waiting
 * requests, the tokens available here, and the budget's free and granted tokens when last seen.
 */
public record SliceDemand(double tokensPerSecond, long need, long available, long free, long granted, int liveRouters) {

    /** Returns the same demand as if the given number of tokens were free. */
    public SliceDemand withFree(long tokens) {
        return new SliceDemand(tokensPerSecond, need, available, tokens, granted, liveRouters);
    }
}
