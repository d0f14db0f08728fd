package io.hornbeamfield.entry.control;

import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.prepaid.LedgerPeers;
import io.hornbeamfield.core.prepaid.PrepaidHoldings;
import io.hornbeamfield.core.route.RouteConfig;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.entry.Blackboard.Member;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.net.peer.PeerIdentity;
import io.hornbeamfield.net.peer.PeerLink;
import io.hornbeamfield.net.peer.PeerListener;
import io.hornbeamfield.net.peer.PeerMessage;
import io.hornbeamfield.net.peer.PeerStatus;
import io.hornbeamfield.net.peer.PeerTransport;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Transfers prepaid tokens between instances while the store is unavailable or the total is used up. For waiting
 * requests the linked instances are asked one after another. All state is confined to the control thread.
 */
final class PeerTransfers implements PeerListener, LedgerPeers, AutoCloseable {
    /** A few times the round-trip time between two availability zones. */
    private static final long REPLY_TIMEOUT_MS = 25;

    /** Maximum number of links; in a fleet of 420 every instance links to the instances that write the ledger. */
    private static final int MAX_LINKS = 512;

    /** Time for which an instance without tokens to spare is not asked again. */
    private static final long EMPTY_PEER_COOLDOWN_MS = 400;

    private final Clock clock;
    private final PrepaidHoldings book;
    private final ScheduledExecutorService control;
    private final Blackboard blackboard;
    private final EventLog log;
    private final Runnable onReceived;
    private final PeerTransport transport;
    private final Witnesses witnesses;
    private @Nullable StreamOriginController streams;
    private final Map<String, Long> heldByPeer = new HashMap<>();
    private final Map<String, Long> cooldownUntilMs = new HashMap<>();
    private final Map<String, TransferRound> rounds = new HashMap<>();
    private final Set<String> dialled = new HashSet<>();

    /** Requests to peers for the tokens of one workspace; {@code remaining} has not been asked yet. */
    private record TransferRound(
            String id, String workspace, int peersAsked, Deque<PeerLink> remaining, Runnable onNoneGranted) {}

    PeerTransfers(
            Clock clock,
            PrepaidHoldings book,
            ScheduledExecutorService control,
            Blackboard blackboard,
            EventLog log,
            Member self,
            String secret,
            Runnable onReceived,
            Runnable onWitnessReply) {
        this.clock = clock;
        this.book = book;
        this.control = control;
        this.blackboard = blackboard;
        this.log = log;
        this.onReceived = onReceived;
        this.transport = PeerTransport.builder()
                .identity(new PeerIdentity(book.holder(), self.name(), self.zone(), self.callerAddress()))
                .sharedSecret(secret)
                .status(() -> new PeerStatus(
                        blackboard.config().map(RouteConfig::version).orElse(0L),
                        0,
                        blackboard.stopping() ? ServerState.LEAVING : ServerState.LIVE,
                        0))
                .listener(this)
                .listenOn(self.peerAddress())
                .maxLinks(MAX_LINKS)
                .start();
        this.witnesses = new Witnesses(clock, book, control, log, transport::links, this::canWitness, onWitnessReply);
        book.usePeers(this);
    }

    @Override
    public Set<String> linkedHolders() {
        return linksToLedgerWriters().stream().map(l -> l.peer().incarnation()).collect(Collectors.toSet());
    }

    @Override
    public Map<String, Long> witnessedLimits(String holder) {
        return witnesses.limitsOf(holder);
    }

    /** The usage of an instance without holdings is known to the instances that granted its tokens. */
    private boolean canWitness(PeerLink link) {
        return book.isHolder() && isLedgerWriter(link);
    }

    Witnesses witnesses() {
        return witnesses;
    }

    /** Sets the receiver of messages about streams. To be called before the first one arrives. */
    void setStreams(StreamOriginController receiver) {
        streams = receiver;
    }

    /** Returns the links to the instances that write the ledger. */
    List<PeerLink> linksToLedgerWriters() {
        return transport.links().stream().filter(this::isLedgerWriter).toList();
    }

    /** Returns the number of established links. */
    int linkCount() {
        return transport.links().size();
    }

    /** Returns the number of instances that this one should be linked to. */
    int expectedLinkCount() {
        return dialled.size();
    }

    /** Links to the registered instances that write the ledger, which are all instances of a small fleet. */
    void updateMembers(Collection<Member> members, String self) {
        Set<String> wanted = members.stream()
                .filter(m -> !m.name().equals(self) && blackboard.isLedgerWriter(m.name()))
                .map(Member::peerAddress)
                .collect(Collectors.toSet());
        for (String address : List.copyOf(dialled)) {
            if (!wanted.contains(address)) {
                dialled.remove(address);
                transport.stopDialling(address);
            }
        }
        for (String address : wanted) {
            if (dialled.add(address)) {
                transport.dial(address);
            }
        }
    }

    /** Requests missing tokens from the linked instances; the action runs if they do not cover the shortfall. */
    void requestTokens(String workspace, Runnable onNoneGranted) {
        if (rounds.containsKey(workspace)) {
            return;
        }
        long now = clock.millis();
        List<PeerLink> links = new ArrayList<>(transport.links());
        links.removeIf(l -> !isLedgerWriter(l));
        links.removeIf(l -> cooldownUntilMs.getOrDefault(key(l, workspace), Long.MIN_VALUE) > now);
        links.sort(Comparator.comparingLong(l -> -heldByPeer.getOrDefault(key(l, workspace), Long.MAX_VALUE)));
        TransferRound round = new TransferRound(
                UUID.randomUUID().toString(), workspace, links.size(), new ArrayDeque<>(links), onNoneGranted);
        rounds.put(workspace, round);
        askNext(round);
    }

    private boolean isLedgerWriter(PeerLink link) {
        return blackboard.isLedgerWriter(link.peer().instanceId());
    }

    private static String key(PeerLink link, String workspace) {
        return link.peer().incarnation() + " " + workspace;
    }

    private void askNext(TransferRound round) {
        if (rounds.get(round.workspace()) != round) {
            return;
        }
        long missing = book.shortfall(round.workspace());
        @Nullable PeerLink link = round.remaining().poll();
        if (missing == 0 || link == null) {
            rounds.remove(round.workspace());
            if (missing > 0) {
                round.onNoneGranted().run();
            }
            return;
        }
        int remaining = round.remaining().size();
        long tokens = tokensToRequest(round, missing);
        long preferred = book.isHolder() ? 0 : book.preferredTransfer(round.workspace(), tokens);
        link.send(new PeerMessage.TransferRequest(round.id(), round.workspace(), tokens, preferred));
        control.schedule(
                () -> {
                    if (round.remaining().size() == remaining) {
                        askNext(round);
                    }
                },
                REPLY_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the number of tokens to request. An instance without holdings asks the first peer for the tokens of all
     * waiting requests, since in a burst each of them would otherwise wait for a round trip of its own. Further peers
     * are asked for the smallest request only.
     */
    private long tokensToRequest(TransferRound round, long missing) {
        boolean first = round.remaining().size() + 1 == round.peersAsked();
        return first && !book.isHolder() ? Math.max(missing, book.totalShortfall(round.workspace())) : missing;
    }

    @Override
    public void onLinked(PeerLink link) {
        log.event("peer-linked").field("peer", link.peer().incarnation()).write();
    }

    @Override
    public void onClosed(PeerLink link) {
        log.event("peer-lost").field("peer", link.peer().incarnation()).write();
        control.execute(() -> {
            StreamOriginController receiver = streams;
            if (receiver != null) {
                receiver.linkClosed(link);
            }
        });
    }

    @Override
    public void onMessage(PeerLink link, PeerMessage message) {
        if (!(message instanceof PeerMessage.Heartbeat)) {
            control.execute(() -> handle(link, message));
        }
    }

    private void handle(PeerLink link, PeerMessage message) {
        if (message instanceof PeerMessage.TransferRequest request) {
            long tokens = isLedgerWriter(link) ? request.tokens() : preferred(request);
            witnesses.ensureLimit(request.budget(), tokens, () -> grant(link, request));
        } else if (message instanceof PeerMessage.TransferGrant grant) {
            onGrant(link, grant);
        } else if (message instanceof PeerMessage.AboutStreams about) {
            StreamOriginController receiver = streams;
            if (receiver != null) {
                receiver.handle(link, about);
            }
        } else {
            witnesses.handle(link, message);
        }
    }

    private void grant(PeerLink link, PeerMessage.TransferRequest request) {
        long given = isLedgerWriter(link)
                ? book.transfer(request.budget(), request.tokens())
                : book.transferForUse(request.budget(), request.tokens(), preferred(request));
        long held = Math.max(0, book.freeTokens().getOrDefault(request.budget(), 0L));
        link.send(new PeerMessage.TransferGrant(request.transferId(), request.budget(), given, held));
    }

    private static long preferred(PeerMessage.TransferRequest request) {
        return Math.max(request.tokens(), request.preferred());
    }

    private void onGrant(PeerLink link, PeerMessage.TransferGrant grant) {
        String key = key(link, grant.budget());
        Long held = grant.held();
        heldByPeer.put(key, held == null ? 0 : held);
        if (grant.tokens() > 0) {
            book.receiveTransfer(grant.budget(), grant.tokens());
            log.event("prepaid-received")
                    .field("workspace", grant.budget())
                    .field("from", link.peer().instanceId())
                    .field("tokens", grant.tokens())
                    .write();
            onReceived.run();
        } else if (book.isHolder() || held == null || held < book.shortfall(grant.budget())) {
            cooldownUntilMs.put(key, clock.millis() + EMPTY_PEER_COOLDOWN_MS);
        }
        TransferRound round = rounds.get(grant.budget());
        if (round != null && round.id().equals(grant.transferId())) {
            askNext(round);
        }
    }

    @Override
    public void close() {
        transport.close();
    }
}
