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
 * Asks the linked peers for tokens of one budget, one after the other, those first that hold most according to the
 * budget record. Asking all at once would draw more than is needed away from routers that need it themselves.
 */
final class TransferRound {
    /** A peer that has not answered by then is passed over; its grant is still credited when it comes. */
    static final Duration ANSWER_TIMEOUT = Duration.ofMillis(300);
    /**
     * Peers whose reservations were settled meanwhile are asked again after this time, less up to half: routers that
     * ask each other at the same moments would refuse each other again and again.
     */
    static final Duration ROUND_PAUSE = Duration.ofMillis(250);

    /** A link whose peer is silent is closed after 4 s; the rest allows for a peer that is paused. */
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
    /** What the peers of this round still hold, null once a peer did not state it. */
    private @Nullable Long heldByPeers = 0L;

    private boolean lastRoundReceivedTokens;
    private long requests;

    TransferRound(ControlContext context, PeerEventDispatcher peers, Allotment allotment, Runnable onProgress) {
        this.context = context;
        this.peers = peers;
        this.allotment = allotment;
        this.onProgress = onProgress;
    }

    /** Goes on asking for the given number of tokens. */
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

    /** Returns whether a grant of a peer that was asked may still arrive. */
    boolean mayReceive() {
        return context.now().isBefore(answerDeadline.plus(LATE_GRANT_WINDOW));
    }

    /** Returns whether a peer is still to answer. */
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

    /** Returns what all routers together hold, the largest number if that is not known. */
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

    /** Ends the round because no request waits any more; the next need starts with the largest holder at once. */
    void reset() {
        asked.clear();
        receivedTokens = false;
        heldByPeers = 0L;
        // The findings of past rounds do not count for requests that come later.
        scarcity.recordRound(0, Long.MAX_VALUE);
        scarcity.clearPotential();
    }

    /** Returns whether a peer that lacks tokens gets them although own requests may lack some, too. */
    boolean shouldGrant(long ownShortfall, long requested) {
        return scarcity.shouldGrant(ownShortfall, requested);
    }

    /** Returns whether all routers together may cover a request, by the rounds up to one that ended while it waited. */
    boolean mayCover(PendingReservation pending) {
        return roundCompletedAt.isBefore(pending.arrivedAt()) || scarcity.mayCover(pending.tokens());
    }

    /** Credits an answer of a peer, which states what it still holds. */
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

    /** Returns whether a whole round since the given time brought nothing. */
    boolean endedWithoutGrant(Instant since) {
        return peers.links().isEmpty()
                || (!roundCompletedAt.isBefore(since) && !lastRoundReceivedTokens && !receivedTokens);
    }
}
