package io.hornbeamfield.core.budget;

/**
 * Decides about transfers and early refusals of one budget at one router while nothing is free at the platform. A round
 * asks every linked peer once for what the smallest waiting request lacks. Not thread-safe.
 *
 * <pre>{@code
 * if (scarcity.shouldGrant(lackOfSmallestWaiting, request.tokens())) {
 *     allotment.sendTransfer(request.transferId(), request.tokens());
 * }
 * scarcity.recordRound(stillLacking, available + reserved + availableAndReservedAtPeers);
 * boolean refuseNow = !scarcity.mayCover(tokens);
 * }</pre>
 */
public final class ScarcityPolicy {
    private static final long UNKNOWN = Long.MAX_VALUE;

    private boolean lastRoundFailed;
    private long lastPotential = UNKNOWN;
    private long earlierPotential = UNKNOWN;

    /**
     * Returns whether this router gives a peer the tokens that it asked for, although own requests may wait. Of two
     * routers that lack tokens, the one that lacks less gets what the other has. A router that asked every peer in vain
     * gives in any case, since nobody but the asker can use the tokens.
     */
    public boolean shouldGrant(long ownLack, long askedFor) {
        return ownLack <= 0 || lastRoundFailed || ownLack > askedFor;
    }

    /**
     * A round ended. The potential is what this router and all peers have available or reserved together, that is, what
     * they could cover if they released every reservation unspent.
     */
    public void recordRound(long stillLacking, long potential) {
        lastRoundFailed = stillLacking > 0;
        earlierPotential = lastPotential;
        lastPotential = potential;
    }

    /** Something is free at the platform, or the platform or a peer cannot be asked: the potential is not known. */
    public void clearPotential() {
        lastPotential = UNKNOWN;
        earlierPotential = UNKNOWN;
    }

    /**
     * Returns whether the routers together may still cover a request of the given size. Two rounds in a row have to
     * deny it: during one round, tokens can move from a peer not yet asked to one already asked.
     */
    public boolean mayCover(long tokens) {
        return tokens <= Math.max(lastPotential, earlierPotential);
    }
}
