package io.hornbeamfield.core.budget;

import java.time.Duration;

/**
 * Implementations of {@link SliceSizer}.
 *
 * <pre>{@code
 * SliceSizer sizer = SliceSizers.demandProportional(Duration.ofSeconds(60), 0.5);
 * }</pre>
 */
public final class SliceSizers {
    // A share of the free balance shrinks with every take. Without this lower bound, a budget that runs out causes one
    // take per request. With it, each router makes about 8 takes per horizon, and transfers distribute the last tokens.
    private static final int MIN_TARGET_DIVISOR = 8;

    private SliceSizers() {}

    /**
     * Returns a sizer that covers the expected demand of the horizon, limited to this router's part of the given share
     * of the free tokens. The target is at least the waiting tokens and an eighth of the expected demand, as far as
     * free and available tokens allow.
     */
    public static SliceSizer demandProportional(Duration horizon, double maxShareOfFree) {
        double seconds = horizon.toMillis() / 1000.0;
        return input -> {
            long expected = Math.max((long) Math.ceil(input.tokensPerSecond() * seconds), input.waitingTokens());
            long free = Math.max(0, input.free());
            long share = (long) (free * maxShareOfFree / Math.max(1, input.liveRouters()));
            long obtainable = free + Math.max(0, input.available());
            long minimum = Math.min(Math.max(input.waitingTokens(), expected / MIN_TARGET_DIVISOR), obtainable);
            return Math.max(Math.min(expected, share), minimum);
        };
    }

    /** Returns a sizer with a constant target, raised to the waiting tokens where these are more. */
    public static SliceSizer fixed(long tokens) {
        return input -> Math.max(tokens, input.waitingTokens());
    }

    /** Returns a sizer that divides all granted tokens evenly among the live routers. */
    public static SliceSizer evenSplit() {
        return input -> input.granted() / Math.max(1, input.liveRouters());
    }
}
