package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.budget.Allotment;
import io.hornbeamfield.core.budget.ScarcityPolicy;
import io.hornbeamfield.core.budget.TransferGrant;
import io.hornbeamfield.core.routing.RouterInfo;
import io.hornbeamfield.net.peer.PeerLink;
import io.hornbeamfield.net.peer.PeerMessage;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;

/**
 * Requests tokens of one budget from the linked peers, one peer at a time, in descending order of the tokens that they
 * hold by the budget record. Asking all peers at once would draw more tokens than needed away from routers that need
 * them themselves.
 */
final class TransferRound {
    /** A peer that has not answered within this time is skipped; a late grant is still credited. */
    static final Duration ANSWER_TIMEOUT = Duration.ofMillis(300);
    /**
     * Pause before the next round, which reaches peers whose reservations were settled meanwhile. It is shortened at
     * random by up to half, because routers that ask each other at the same moments would keep refusing each other.
     */
    static final Duration ROUND_PAUSE = Duration.ofMillis(250);

    /** A link whose peer is silent is closed after 4 s; the remaining time allows for a paused peer. */
    private static final Duration LATE_GRANT_WINDOW = Duration.ofSeconds(60);

    private final ControlContext context;
    private final PeerEventDispatcher peers;
    private final Allotment allotment;
    private final Runnable onProgress;
    private final ScarcityPolicy scarcity = new ScarcityPolicy();
    private final Set<String> asked = new HashSet<>();
    private @Nullable String outstandingRequest;
    private Instant answerDeadline = Instant.MIN;
    private Instant nextRoundAt = Instant.MIN;
    private Instant roundCompletedAt = Instant.MIN;
    private boolean receivedTokens;
    /** Tokens that the peers asked in this round still hold, null once a peer did not report them. */
    private @Nullable Long heldByPeers = 0L;

    private boolean lastRoundReceivedTokens;
    private long requests;

    TransferRound(ControlContext context, PeerEventDispatcher peers, Allotment allotment, Runnable onProgress) {
        this.context = context;
        this.peers = peers;
        this.allotment = allotment;
        this.onProgress = onProgress;
    }

    /**
     * Asks the next peer of the round for the given number of tokens, unless a request is outstanding or the pause
     * between rounds lasts.
     */
    void ask(long tokens, Optional<BudgetSnapshot> snapshot) {
        Instant now = context.now();
        if (isAsking() || now.isBefore(nextRoundAt)) {
            return;
        }
        if (outstandingRequest != null) {
            heldByPeers = null;
            outstandingRequest = null;
        }
        Optional<PeerLink> next = peers.links().stream()
                .filter(link -> !asked.contains(link.peer().incarnation()))
                .max(Comparator.comparingLong(link -> heldBy(link, snapshot)));
        if (next.isEmpty()) {
            roundCompleted(now, tokens, snapshot);
            return;
        }
        asked.add(next.get().peer().incarnation());
        requests++;
        String id = context.incarnation() + ":" + allotment.budget() + ":" + requests;
        allotment.expectTransfer(id);
        outstandingRequest = id;
        answerDeadline = now.plus(ANSWER_TIMEOUT);
        context.count("transfers.asked");
        next.get().send(new PeerMessage.TransferRequest(id, allotment.budget(), tokens));
        context.loop().after(ANSWER_TIMEOUT, onProgress);
    }

    /** Returns whether a grant for an earlier request may still arrive. */
    boolean mayReceive() {
        return context.now().isBefore(answerDeadline.plus(LATE_GRANT_WINDOW));
    }

    /** Returns whether a request to a peer is outstanding. */
    boolean isAsking() {
        return outstandingRequest != null && context.now().isBefore(answerDeadline);
    }

    private static long heldBy(PeerLink link, Optional<BudgetSnapshot> snapshot) {
        return snapshot.map(s -> s.record().holder(link.peer().incarnation()).held())
                .orElse(0L);
    }

    private void roundCompleted(Instant now, long shortfall, Optional<BudgetSnapshot> snapshot) {
        scarcity.recordRound(shortfall, totalHeld(snapshot));
        heldByPeers = 0L;
        roundCompletedAt = now;
        lastRoundReceivedTokens = receivedTokens;
        receivedTokens = false;
        asked.clear();
        long millis = ROUND_PAUSE.toMillis();
        Duration pause = Duration.ofMillis(millis - ThreadLocalRandom.current().nextLong(millis / 2));
        nextRoundAt = now.plus(pause);
        context.loop().after(pause, onProgress);
    }

    /** Returns the tokens that all routers hold together, or {@link Long#MAX_VALUE} if that is unknown. */
    private long totalHeld(Optional<BudgetSnapshot> snapshot) {
        Long others = heldByPeers;
        boolean nothingFree = snapshot.map(s -> s.record().free() <= 0).orElse(false);
        if (others == null || !nothingFree || !allRoutersAsked()) {
            return Long.MAX_VALUE;
        }
        return others + Math.max(0, allotment.available() + allotment.reserved());
    }

    private boolean allRoutersAsked() {
        return context.blackboard().routers().stream()
                .map(RouterInfo::incarnation)
                .allMatch(i -> i.equals(context.incarnation()) || asked.contains(i));
    }

    /** Ends the round because no request is waiting any more; the next round starts at once with the largest holder. */
    void reset() {
        asked.clear();
        receivedTokens = false;
        heldByPeers = 0L;
        // The results of past rounds do not apply to later requests.
        scarcity.recordRound(0, Long.MAX_VALUE);
        scarcity.clearPotential();
    }

    /** Returns whether a peer gets the requested tokens, even though this router's own requests may lack some, too. */
    boolean shouldGrant(long ownShortfall, long requested) {
        return scarcity.shouldGrant(ownShortfall, requested);
    }

    /**
     * Returns whether all routers together may cover a request. True until a round has ended while the request waited.
     */
    boolean mayCover(PendingReservation pending) {
        return roundCompletedAt.isBefore(pending.arrivedAt()) || scarcity.mayCover(pending.tokens());
    }

    /** Credits a grant of a peer, which also reports the tokens that it still holds. */
    void receiveGrant(TransferGrant grant, @Nullable Long heldByPeer) {
        if (allotment.receiveTransfer(grant)) {
            receivedTokens = true;
            context.count("transfers.received");
        }
        if (grant.transferId().equals(outstandingRequest)) {
            outstandingRequest = null;
            heldByPeers = heldByPeers == null || heldByPeer == null ? null : Long.valueOf(heldByPeers + heldByPeer);
        }
    }

    /** Returns whether a whole round since the given time ended without a grant, or no peer is linked. */
    boolean endedWithoutGrant(Instant since) {
        return peers.links().isEmpty()
                || (!roundCompletedAt.isBefore(since) && !lastRoundReceivedTokens && !receivedTokens);
    }
}
