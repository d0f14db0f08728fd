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
 * Tells some linked instances, the witnesses, the most that this one uses of its prepaid holdings, keeps what others
 * tell, and asks the witnesses of this instance's earlier incarnations what those can have used. All state belongs to
 * the control thread.
 */
final class Witnesses {
    /** All others of a small fleet: when 5 of 8 instances are killed at once, the remaining 3 are a quorum. */
    private static final int COUNT = 7;

    /** An answer that was lost with its link; the question is a small message. */
    private static final long ASK_AGAIN_MS = 1_000;

    /** Several round trips between two availability zones; a request waits no longer for a witness that is gone. */
    private static final long ACK_TIMEOUT_MS = 40;

    /** Longer than a link takes to notice that its other side is gone. */
    private static final long SILENT_MS = 5_000;

    /** Holders that are kept for others: some incarnations of each instance of a large fleet. */
    private static final int MAX_KEPT_HOLDERS = 2_000;

    private final Clock clock;
    private final PrepaidHoldings book;
    private final ScheduledExecutorService control;
    private final EventLog log;
    private final Supplier<List<PeerLink>> links;
    private final Predicate<PeerLink> mayWitness;
    private final Runnable onChanged;
    private final Map<String, Map<String, Long>> kept = new LinkedHashMap<>();
    private final Set<String> closed = new HashSet<>();
    private final Map<String, Map<String, Map<String, Long>>> answers = new HashMap<>();
    private final Map<String, Map<String, Long>> askAgainMs = new HashMap<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private final Set<String> raising = new HashSet<>();
    private final Map<String, Long> silentUntilMs = new HashMap<>();
    private final Map<String, Set<String>> unanswered = new HashMap<>();
    private Set<String> chosen = Set.of();

    /** An action that runs when a limit allows more tokens, or after a short time. */
    private record Waiting(String workspace, long tokens, Runnable action) {}

    Witnesses(
            Clock clock,
            PrepaidHoldings book,
            ScheduledExecutorService control,
            EventLog log,
            Supplier<List<PeerLink>> links,
            Predicate<PeerLink> mayWitness,
            Runnable onChanged) {
        this.clock = clock;
        this.book = book;
        this.control = control;
        this.log = log;
        this.links = links;
        this.mayWitness = mayWitness;
        this.onChanged = onChanged;
    }

    /** Chooses witnesses anew if one of them is no longer linked. To be called a few times a second. */
    void tick() {
        Map<String, PeerLink> linked = linked();
        long now = clock.millis();
        silentUntilMs.values().removeIf(until -> until < now);
        linked.values().removeIf(mayWitness.negate());
        linked.keySet().removeAll(silentUntilMs.keySet());
        boolean complete = chosen.size() >= Math.min(COUNT, linked.size())
                && linked.keySet().containsAll(chosen);
        if (complete && book.witnesses().equals(chosen)) {
            return;
        }
        if (!complete) {
            chosen = linked.keySet().stream()
                    .sorted(Comparator.comparingLong((String w) -> -Rendezvous.weight(book.holder(), w)))
                    .limit(COUNT)
                    .collect(Collectors.toUnmodifiableSet());
            log.event("witnesses-chosen")
                    .field("witnesses", String.join(",", chosen))
                    .write();
        }
        tell(chosen, book.proposedLimits());
        book.chooseWitnesses(chosen);
    }

    private Map<String, PeerLink> linked() {
        Map<String, PeerLink> map = new HashMap<>();
        links.get().forEach(l -> map.put(l.peer().incarnation(), l));
        return map;
    }

    private void tell(Collection<String> witnesses, Map<String, Long> limits) {
        Map<String, PeerLink> linked = linked();
        for (String w : witnesses) {
            PeerLink link = linked.get(w);
            if (link != null) {
                link.send(new PeerMessage.LimitUpdate(book.holder(), limits));
            }
        }
    }

    /**
     * Raises the limit for requests of a workspace that wait, and runs an action when the witnesses know it or after a
     * short time. While that is in progress, further calls for the workspace do nothing: the action tries all requests
     * that wait again, and each of them may call this method.
     */
    void raise(String workspace, Runnable action) {
        if (raising.add(workspace)) {
            ensure(workspace, 0, () -> {
                raising.remove(workspace);
                action.run();
            });
        }
    }

    /** Runs an action when the witnesses know a limit that allows more tokens, or after a short time in any case. */
    void ensure(String workspace, long tokens, Runnable action) {
        if (book.limitAllows(workspace, tokens) && !book.needsHigherLimit(workspace)) {
            action.run();
            return;
        }
        Waiting w = new Waiting(workspace, tokens, action);
        waiting.add(w);
        Set<String> told = book.witnesses();
        told.forEach(t -> unanswered.computeIfAbsent(t, n -> new HashSet<>()).add(workspace));
        tell(told, Map.of(workspace, book.proposedLimit(workspace, tokens)));
        control.schedule(() -> timedOut(w, told), ACK_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** A witness that does not answer holds every request up, so that another one takes its place at once. */
    private void timedOut(Waiting w, Set<String> told) {
        if (!waiting.contains(w)) {
            return;
        }
        for (String witness : told) {
            boolean silent = unanswered.getOrDefault(witness, Set.of()).contains(w.workspace());
            if (silent && silentUntilMs.put(witness, clock.millis() + SILENT_MS) == null) {
                log.event("witness-silent").field("witness", witness).write();
            }
        }
        finish(w);
        tick();
    }

    private void finish(Waiting w) {
        if (waiting.remove(w)) {
            w.action().run();
        }
    }

    /** Handles a message about limits. */
    void handle(PeerLink link, PeerMessage message) {
        if (message instanceof PeerMessage.LimitUpdate update) {
            keep(link, update);
        } else if (message instanceof PeerMessage.LimitAck ack) {
            acknowledged(link, ack);
        } else if (message instanceof PeerMessage.LimitQuery query) {
            closed.add(query.holder());
            Map<String, Long> limits = kept.get(query.holder());
            link.send(new PeerMessage.LimitReply(query.holder(), limits != null, limits == null ? Map.of() : limits));
        } else if (message instanceof PeerMessage.LimitReply reply) {
            replied(link, reply);
        }
    }

    private void keep(PeerLink link, PeerMessage.LimitUpdate update) {
        if (closed.contains(update.holder())
                || !update.holder().equals(link.peer().incarnation())) {
            return;
        }
        Map<String, Long> limits = kept.computeIfAbsent(update.holder(), h -> new HashMap<>());
        update.limits().forEach((workspace, limit) -> limits.merge(workspace, limit, Math::max));
        if (kept.size() > MAX_KEPT_HOLDERS) {
            kept.remove(kept.keySet().iterator().next());
        }
        link.send(new PeerMessage.LimitAck(update.holder(), update.limits()));
    }

    private void acknowledged(PeerLink link, PeerMessage.LimitAck ack) {
        if (!ack.holder().equals(book.holder())) {
            return;
        }
        String witness = link.peer().incarnation();
        book.recordAcknowledgement(witness, ack.limits());
        unanswered.computeIfPresent(witness, (w, names) -> {
            names.removeAll(ack.limits().keySet());
            return names.isEmpty() ? null : names;
        });
        if (ack.limits().size() > 1) {
            onChanged.run();
        }
        for (Waiting w : List.copyOf(waiting)) {
            if (book.limitAllows(w.workspace(), w.tokens()) && !book.needsHigherLimit(w.workspace())) {
                finish(w);
            }
        }
    }

    /** Asks the linked witnesses of ended holders that have not answered. */
    void askAbout(PrepaidLedger ledger, Collection<String> endedHolders) {
        Map<String, PeerLink> linked = linked();
        long now = clock.millis();
        for (String holder : endedHolders) {
            Map<String, Long> times = askAgainMs.computeIfAbsent(holder, h -> new HashMap<>());
            for (String witness : ledger.witnessesOf(holder)) {
                PeerLink link = linked.get(witness);
                if (link != null && times.getOrDefault(witness, Long.MIN_VALUE) <= now) {
                    times.put(witness, now + ASK_AGAIN_MS);
                    link.send(new PeerMessage.LimitQuery(holder));
                }
            }
        }
    }

    private void replied(PeerLink link, PeerMessage.LimitReply reply) {
        Map<String, Long> times = askAgainMs.get(reply.holder());
        if (times == null) {
            return;
        }
        String witness = link.peer().incarnation();
        times.put(witness, Long.MAX_VALUE);
        log.event("prepaid-limits-answered")
                .field("holder", reply.holder())
                .field("witness", witness)
                .field("known", reply.known() ? 1 : 0)
                .write();
        if (reply.known()) {
            answers.computeIfAbsent(reply.holder(), h -> new HashMap<>()).put(witness, reply.limits());
            onChanged.run();
        }
    }

    /** Returns the ended holders whose use enough of the witnesses know that a ledger names. */
    Collection<EndedHolder> ended(PrepaidLedger ledger) {
        return answers.entrySet().stream()
                .map(e -> EndedHolder.fromAnswers(e.getKey(), ledger.witnessesOf(e.getKey()), e.getValue()))
                .flatMap(Optional::stream)
                .toList();
    }
}
