package io.hornbeamfield.entry.control;

import io.hornbeamfield.core.prepaid.EndedHolder;
import io.hornbeamfield.core.prepaid.PrepaidHoldings;
import io.hornbeamfield.core.prepaid.PrepaidLedger;
import io.hornbeamfield.core.routing.Rendezvous;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.net.peer.PeerLink;
import io.hornbeamfield.net.peer.PeerMessage;
import java.time.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Replicates the usage limits of this instance's prepaid holdings to some linked instances, the witnesses, stores the
 * limits of other instances, and queries the witnesses of earlier incarnations of this instance for the most that those
 * can have used. All state is confined to the control thread.
 */
final class Witnesses {
    /** All other instances of a fleet of 8: when 5 of the 8 are killed at once, the remaining 3 form a quorum. */
    private static final int MAX_WITNESSES = 7;

    /** A reply may be lost together with its link. Queries are small messages, so repeating them is cheap. */
    private static final long QUERY_RETRY_MS = 1_000;

    /** Several round trips between two availability zones. Requests do not wait longer for a lost witness. */
    private static final long ACK_TIMEOUT_MS = 40;

    /** Time for which a silent witness is not chosen; longer than a link needs to detect the loss of its peer. */
    private static final long SILENT_EXCLUSION_MS = 5_000;

    /** Maximum number of holders whose limits are stored: several incarnations of each instance of a large fleet. */
    private static final int MAX_TRACKED_HOLDERS = 2_000;

    private final Clock clock;
    private final PrepaidHoldings book;
    private final ScheduledExecutorService control;
    private final EventLog log;
    private final Supplier<List<PeerLink>> links;
    private final Predicate<PeerLink> canWitness;
    private final Runnable onWitnessReply;
    private final Map<String, Map<String, Long>> limitsByHolder = new LinkedHashMap<>();
    private final Set<String> closedHolders = new HashSet<>();
    private final Map<String, Map<String, Map<String, Long>>> repliesByHolder = new HashMap<>();
    private final Map<String, Map<String, Long>> nextQueryMs = new HashMap<>();
    private final List<PendingRaise> pendingRaises = new ArrayList<>();
    private final Set<String> raising = new HashSet<>();
    private final Map<String, Long> excludedUntilMs = new HashMap<>();
    private final Map<String, Set<String>> unacknowledged = new HashMap<>();
    private Set<String> chosen = Set.of();

    /** Action that runs when the limit has been raised sufficiently, or after the acknowledgement timeout. */
    private record PendingRaise(String workspace, long tokens, Runnable action) {}

    Witnesses(
            Clock clock,
            PrepaidHoldings book,
            ScheduledExecutorService control,
            EventLog log,
            Supplier<List<PeerLink>> links,
            Predicate<PeerLink> canWitness,
            Runnable onWitnessReply) {
        this.clock = clock;
        this.book = book;
        this.control = control;
        this.log = log;
        this.links = links;
        this.canWitness = canWitness;
        this.onWitnessReply = onWitnessReply;
    }

    /** Replaces witnesses that are no longer linked. Called a few times per second. */
    void tick() {
        Map<String, PeerLink> linked = linksByIncarnation();
        long now = clock.millis();
        excludedUntilMs.values().removeIf(until -> until < now);
        linked.values().removeIf(canWitness.negate());
        linked.keySet().removeAll(excludedUntilMs.keySet());
        boolean complete = chosen.size() >= Math.min(MAX_WITNESSES, linked.size())
                && linked.keySet().containsAll(chosen);
        if (complete && book.witnesses().equals(chosen)) {
            return;
        }
        if (!complete) {
            chosen = linked.keySet().stream()
                    .sorted(Comparator.comparingLong((String w) -> -Rendezvous.weight(book.holder(), w)))
                    .limit(MAX_WITNESSES)
                    .collect(Collectors.toUnmodifiableSet());
            log.event("witnesses-chosen")
                    .field("witnesses", String.join(",", chosen))
                    .write();
        }
        sendLimits(chosen, book.proposedLimits());
        book.chooseWitnesses(chosen);
    }

    private Map<String, PeerLink> linksByIncarnation() {
        Map<String, PeerLink> map = new HashMap<>();
        links.get().forEach(l -> map.put(l.peer().incarnation(), l));
        return map;
    }

    private void sendLimits(Collection<String> witnesses, Map<String, Long> limits) {
        Map<String, PeerLink> linked = linksByIncarnation();
        for (String w : witnesses) {
            PeerLink link = linked.get(w);
            if (link != null) {
                link.send(new PeerMessage.LimitUpdate(book.holder(), limits));
            }
        }
    }

    /**
     * Raises the limit for the waiting requests of a workspace, and runs an action when the witnesses have acknowledged
     * it or after the acknowledgement timeout. While a raise is in progress, further calls for the workspace have no
     * effect, because the action retries all waiting requests, each of which may call this method.
     */
    void raiseLimit(String workspace, Runnable action) {
        if (raising.add(workspace)) {
            ensureLimit(workspace, 0, () -> {
                raising.remove(workspace);
                action.run();
            });
        }
    }

    /** Runs an action when the witnesses have acknowledged a sufficient limit, or after the acknowledgement timeout. */
    void ensureLimit(String workspace, long tokens, Runnable action) {
        if (book.limitAllows(workspace, tokens) && !book.needsHigherLimit(workspace)) {
            action.run();
            return;
        }
        PendingRaise w = new PendingRaise(workspace, tokens, action);
        pendingRaises.add(w);
        Set<String> asked = book.witnesses();
        asked.forEach(
                t -> unacknowledged.computeIfAbsent(t, n -> new HashSet<>()).add(workspace));
        sendLimits(asked, Map.of(workspace, book.proposedLimit(workspace, tokens)));
        control.schedule(() -> onAckTimeout(w, asked), ACK_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Replaces silent witnesses immediately, since each of them would delay every further request. */
    private void onAckTimeout(PendingRaise w, Set<String> asked) {
        if (!pendingRaises.contains(w)) {
            return;
        }
        for (String witness : asked) {
            boolean silent = unacknowledged.getOrDefault(witness, Set.of()).contains(w.workspace());
            if (silent && excludedUntilMs.put(witness, clock.millis() + SILENT_EXCLUSION_MS) == null) {
                log.event("witness-silent").field("witness", witness).write();
            }
        }
        complete(w);
        tick();
    }

    private void complete(PendingRaise w) {
        if (pendingRaises.remove(w)) {
            w.action().run();
        }
    }

    /** Handles limit updates, queries, and the replies to them. */
    void handle(PeerLink link, PeerMessage message) {
        if (message instanceof PeerMessage.LimitUpdate update) {
            storeLimits(link, update);
        } else if (message instanceof PeerMessage.LimitAck ack) {
            onAck(link, ack);
        } else if (message instanceof PeerMessage.LimitQuery query) {
            closedHolders.add(query.holder());
            Map<String, Long> limits = limitsByHolder.get(query.holder());
            link.send(new PeerMessage.LimitReply(query.holder(), limits != null, limits == null ? Map.of() : limits));
        } else if (message instanceof PeerMessage.LimitReply reply) {
            onReply(link, reply);
        }
    }

    private void storeLimits(PeerLink link, PeerMessage.LimitUpdate update) {
        if (closedHolders.contains(update.holder())
                || !update.holder().equals(link.peer().incarnation())) {
            return;
        }
        Map<String, Long> limits = limitsByHolder.computeIfAbsent(update.holder(), h -> new HashMap<>());
        update.limits().forEach((workspace, limit) -> limits.merge(workspace, limit, Math::max));
        if (limitsByHolder.size() > MAX_TRACKED_HOLDERS) {
            limitsByHolder.remove(limitsByHolder.keySet().iterator().next());
        }
        link.send(new PeerMessage.LimitAck(update.holder(), update.limits()));
    }

    private void onAck(PeerLink link, PeerMessage.LimitAck ack) {
        if (!ack.holder().equals(book.holder())) {
            return;
        }
        String witness = link.peer().incarnation();
        book.recordAcknowledgement(witness, ack.limits());
        unacknowledged.computeIfPresent(witness, (w, names) -> {
            names.removeAll(ack.limits().keySet());
            return names.isEmpty() ? null : names;
        });
        if (ack.limits().size() > 1) {
            onWitnessReply.run();
        }
        for (PendingRaise w : List.copyOf(pendingRaises)) {
            if (book.limitAllows(w.workspace(), w.tokens()) && !book.needsHigherLimit(w.workspace())) {
                complete(w);
            }
        }
    }

    /** Returns the limits by workspace that this instance has recorded for a holder. */
    Map<String, Long> limitsOf(String holder) {
        return limitsByHolder.getOrDefault(holder, Map.of());
    }

    /** Queries the linked witnesses of ended holders that have not replied yet. */
    void queryWitnesses(PrepaidLedger ledger, Collection<String> endedHolders) {
        Map<String, PeerLink> linked = linksByIncarnation();
        long now = clock.millis();
        for (String holder : endedHolders) {
            Map<String, Long> queryTimes = nextQueryMs.computeIfAbsent(holder, h -> new HashMap<>());
            for (String witness : ledger.witnessesOf(holder)) {
                PeerLink link = linked.get(witness);
                if (link != null && queryTimes.getOrDefault(witness, Long.MIN_VALUE) <= now) {
                    queryTimes.put(witness, now + QUERY_RETRY_MS);
                    link.send(new PeerMessage.LimitQuery(holder));
                }
            }
        }
    }

    private void onReply(PeerLink link, PeerMessage.LimitReply reply) {
        Map<String, Long> queryTimes = nextQueryMs.get(reply.holder());
        if (queryTimes == null) {
            return;
        }
        String witness = link.peer().incarnation();
        queryTimes.put(witness, Long.MAX_VALUE);
        log.event("prepaid-limits-answered")
                .field("holder", reply.holder())
                .field("witness", witness)
                .field("known", reply.known() ? 1 : 0)
                .write();
        if (reply.known()) {
            repliesByHolder
                    .computeIfAbsent(reply.holder(), h -> new HashMap<>())
                    .put(witness, reply.limits());
            onWitnessReply.run();
        }
    }

    /** Returns the ended holders whose usage is known from enough of the witnesses listed in a ledger. */
    Collection<EndedHolder> endedHolders(PrepaidLedger ledger) {
        return repliesByHolder.entrySet().stream()
                .map(e -> EndedHolder.fromAnswers(e.getKey(), ledger.witnessesOf(e.getKey()), e.getValue()))
                .flatMap(Optional::stream)
                .toList();
    }
}
