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
    static final Duration ANSWER_WAIT = Duration.ofMillis(300);
    /**
     * Peers whose reservations were settled meanwhile are asked again after this time, less up to half: routers that
     * ask each other at the same moments would refuse each other again and again.
     */
    static final Duration ROUND_PAUSE = Duration.ofMillis(250);

    /** A link whose peer is silent is closed after 4 s; the rest allows for a peer that is paused. */
    private static final Duration LATE_GRANT = Duration.ofSeconds(60);

    private final ControlContext context;
    private final PeerHub peers;
    private final Allotment allotment;
    private final Runnable wake;
    private final ScarcityPolicy scarcity = new ScarcityPolicy();
    private final Set<String> asked = new HashSet<>();
    private @Nullable String openRequest;
    private Instant answerDue = Instant.MIN;
    private Instant nextRoundAt = Instant.MIN;
    private Instant completedAt = Instant.MIN;
    private boolean gaveSome;
    /** What the peers of this round still hold, null once a peer did not state it. */
    private @Nullable Long heldByPeers = 0L;

    private boolean lastRoundGave;
    private long requests;

    TransferRound(ControlContext context, PeerHub peers, Allotment allotment, Runnable wake) {
        this.context = context;
        this.peers = peers;
        this.allotment = allotment;
        this.wake = wake;
    }

    /** Goes on asking for the given number of tokens. */
    void ask(long tokens, Optional<SeenBudget> seen) {
        Instant now = context.now();
        if (isAsking() || now.isBefore(nextRoundAt)) {
            return;
        }
        if (openRequest != null) {
            heldByPeers = null;
            openRequest = null;
        }
        Optional<PeerLink> next = peers.links().stream()
                .filter(link -> !asked.contains(link.peer().incarnation()))
                .max(Comparator.comparingLong(link -> heldBy(link, seen)));
        if (next.isEmpty()) {
            roundCompleted(now, tokens, seen);
            return;
        }
        asked.add(next.get().peer().incarnation());
        requests++;
        String id = context.incarnation() + ":" + allotment.budget() + ":" + requests;
        allotment.expectTransfer(id);
        openRequest = id;
        answerDue = now.plus(ANSWER_WAIT);
        context.count("transfers.asked");
        next.get().send(new PeerMessage.TransferRequest(id, allotment.budget(), tokens));
        context.loop().after(ANSWER_WAIT, wake);
    }

    /** Returns whether a grant of a peer that was asked may still arrive. */
    boolean mayReceive() {
        return context.now().isBefore(answerDue.plus(LATE_GRANT));
    }

    /** Returns whether a peer is still to answer. */
    boolean isAsking() {
        return openRequest != null && context.now().isBefore(answerDue);
    }

    private static long heldBy(PeerLink link, Optional<SeenBudget> seen) {
        return seen.map(s -> s.record().holder(link.peer().incarnation()).held())
                .orElse(0L);
    }

    private void roundCompleted(Instant now, long lack, Optional<SeenBudget> seen) {
        scarcity.recordRound(lack, potential(seen));
        heldByPeers = 0L;
        completedAt = now;
        lastRoundGave = gaveSome;
        gaveSome = false;
        asked.clear();
        long millis = ROUND_PAUSE.toMillis();
        Duration pause = Duration.ofMillis(millis - ThreadLocalRandom.current().nextLong(millis / 2));
        nextRoundAt = now.plus(pause);
        context.loop().after(pause, wake);
    }

    /** Returns what all routers together hold, the largest number if that is not known. */
    private long potential(Optional<SeenBudget> seen) {
        Long others = heldByPeers;
        boolean nothingFree = seen.map(s -> s.record().free() <= 0).orElse(false);
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
    void satisfied() {
        asked.clear();
        gaveSome = false;
        heldByPeers = 0L;
        // The findings of past rounds do not count for requests that come later.
        scarcity.recordRound(0, Long.MAX_VALUE);
        scarcity.clearPotential();
    }

    /** Returns whether a peer that lacks tokens gets them although own requests may lack some, too. */
    boolean gives(long ownLack, long askedFor) {
        return scarcity.shouldGrant(ownLack, askedFor);
    }

    /** Returns whether all routers together may cover a request, by the rounds up to one that ended while it waited. */
    boolean mayCover(BudgetWaiter waiter) {
        return completedAt.isBefore(waiter.arrivedAt()) || scarcity.mayCover(waiter.tokens());
    }

    /** Credits an answer of a peer, which states what it still holds. */
    void granted(TransferGrant grant, @Nullable Long heldByPeer) {
        if (allotment.receiveTransfer(grant)) {
            gaveSome = true;
            context.count("transfers.received");
        }
        if (grant.transferId().equals(openRequest)) {
            openRequest = null;
            heldByPeers = heldByPeers == null || heldByPeer == null ? null : Long.valueOf(heldByPeers + heldByPeer);
        }
    }

    /** Returns whether a whole round since the given time brought nothing. */
    boolean cameBackEmpty(Instant since) {
        return peers.links().isEmpty() || (!completedAt.isBefore(since) && !lastRoundGave && !gaveSome);
    }
}
