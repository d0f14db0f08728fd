package io.hornbeamfield.core.budget;

import java.time.Duration;

/**
 * The slice sizes that a router can use.
 *
 * <pre>{@code
 * SliceSizer sizer = SliceSizers.demandProportional(Duration.ofSeconds(60), 0.5);
 * }</pre>
 */
public final class SliceSizers {
    // Shares of what is free shrink with every take. Without this limit a budget that runs dry causes one take for each
    // request; with it, about 8 takes for each router's horizon, and transfers spread the last tokens.
    private static final int SMALLEST_PART_OF_WANTED = 8;

    private SliceSizers() {}

    /**
     * Covers the demand of the horizon, but not more than this router's part of the given share of the free tokens, and
     * at least the tokens needed at once and an eighth of the demand of the horizon.
     */
    public static SliceSizer demandProportional(Duration horizon, double maxShareOfFree) {
        double seconds = horizon.toMillis() / 1000.0;
        return demand -> {
            long wanted = Math.max((long) Math.ceil(demand.tokensPerSecond() * seconds), demand.waitingTokens());
            long free = Math.max(0, demand.free());
            long share = (long) (free * maxShareOfFree / Math.max(1, demand.liveRouters()));
            long reachable = free + Math.max(0, demand.available());
            long smallest = Math.min(Math.max(demand.waitingTokens(), wanted / SMALLEST_PART_OF_WANTED), reachable);
            return Math.max(Math.min(wanted, share), smallest);
        };
    }

    /** Aims for the same number of tokens whatever the demand. */
    public static SliceSizer fixed(long tokens) {
        return demand -> Math.max(tokens, demand.waitingTokens());
    }

    /** Divides everything granted evenly among the live routers. */
    public static SliceSizer evenSplit() {
        return demand -> demand.granted() / Math.max(1, demand.liveRouters());
    }
}
