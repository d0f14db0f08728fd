package io.hornbeamfield.core.budget;

/**
 * Decides, for one budget at one router, which transfer requests to grant and which requests to refuse early while the
 * budget has no free tokens at the platform. In a transfer round, the router asks every connected peer once for the
 * shortfall of its smallest waiting request. Not thread-safe.
 *
 * <pre>{@code
 * if (scarcity.shouldGrant(smallestShortfall, request.tokens())) {
 *     allotment.sendTransfer(request.transferId(), request.tokens());
 * }
 * scarcity.recordRound(remainingShortfall, available + reserved + availableAndReservedAtPeers);
 * boolean refuseNow = !scarcity.mayCover(tokens);
 * }</pre>
 */
public final class ScarcityPolicy {
    private static final long UNKNOWN = Long.MAX_VALUE;

    private boolean lastRoundFailed;
    private long lastPotential = UNKNOWN;
    private long previousPotential = UNKNOWN;

    /**
     * Returns whether this router grants a peer's transfer request, even though its own requests may be waiting. Of two
     * routers with a shortfall, the one with the smaller shortfall gets the tokens of the other. A router whose last
     * round did not cover its shortfall always grants, because only the requesting peer can still use the tokens.
     */
    public boolean shouldGrant(long ownShortfall, long requestedTokens) {
        return ownShortfall <= 0 || lastRoundFailed || ownShortfall > requestedTokens;
    }

    /**
     * Records the result of a transfer round. The potential is the total number of tokens available or reserved at this
     * router and all peers, that is, the tokens they could use if every reservation were released unspent.
     */
    public void recordRound(long remainingShortfall, long potential) {
        lastRoundFailed = remainingShortfall > 0;
        previousPotential = lastPotential;
        lastPotential = potential;
    }

    /**
     * Discards the recorded potential. Called when tokens are free at the platform, or when the platform or a peer
     * cannot be reached, so that the potential is unknown.
     */
    public void clearPotential() {
        lastPotential = UNKNOWN;
        previousPotential = UNKNOWN;
    }

    /**
     * Returns whether all routers together may still cover a request of the given size. Returns false only after two
     * consecutive rounds ruled it out: within one round, tokens can move from a peer not yet asked to one already
     * asked.
     */
    public boolean mayCover(long tokens) {
        return tokens <= Math.max(lastPotential, previousPotential);
    }
}
