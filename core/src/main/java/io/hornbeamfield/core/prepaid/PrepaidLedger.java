package io.hornbeamfield.core.prepaid;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The ledger of tokens that holders have taken from prepaid totals, stored as one object in the platform's store. A
 * holder is one incarnation of an instance. Tokens that a holder has taken and not returned count as used, also after
 * its process has ended.
 *
 * @param taken tokens by workspace and holder
 * @param witnesses by holder, the holders that record an upper bound of its use
 */
public record PrepaidLedger(Map<String, Map<String, Long>> taken, Map<String, Set<String>> witnesses) {
    /** Name of the entry that sums up the use of all holders that have ended. */
    public static final String ENDED = "ended";

    public PrepaidLedger {
        Map<String, Map<String, Long>> copy = new TreeMap<>();
        taken.forEach((workspace, holders) -> copy.put(workspace, Map.copyOf(holders)));
        taken = Map.copyOf(copy);
        witnesses = Map.copyOf(witnesses);
    }

    /** Returns an empty ledger. */
    public static PrepaidLedger empty() {
        return new PrepaidLedger(Map.of(), Map.of());
    }

    /** Returns the tokens that all holders have taken from a workspace's total. */
    public long totalTaken(String workspace) {
        return taken.getOrDefault(workspace, Map.of()).values().stream()
                .mapToLong(Long::longValue)
                .sum();
    }

    /** Returns the tokens that a holder has taken from a workspace's total. */
    public long takenBy(String workspace, String holder) {
        return taken.getOrDefault(workspace, Map.of()).getOrDefault(holder, 0L);
    }

    /** Returns a copy in which the tokens that a holder has taken are set to the given number. */
    public PrepaidLedger with(String workspace, String holder, long tokens) {
        Map<String, Map<String, Long>> next = new HashMap<>(taken);
        Map<String, Long> holders = new HashMap<>(taken.getOrDefault(workspace, Map.of()));
        holders.put(holder, tokens);
        next.put(workspace, holders);
        return new PrepaidLedger(next, witnesses);
    }

    /** Returns the witnesses of a holder. */
    public Set<String> witnessesOf(String holder) {
        return witnesses.getOrDefault(holder, Set.of());
    }

    /** Returns all holders that have taken tokens or have witnesses, without {@link #ENDED}. */
    public Set<String> holders() {
        Set<String> all = new HashSet<>(witnesses.keySet());
        taken.values().forEach(h -> all.addAll(h.keySet()));
        all.remove(ENDED);
        return all;
    }

    /** Returns a copy in which a holder has the given witnesses. */
    public PrepaidLedger withWitnesses(String holder, Set<String> names) {
        Map<String, Set<String>> next = new HashMap<>(witnesses);
        if (names.isEmpty()) {
            next.remove(holder);
        } else {
            next.put(holder, Set.copyOf(names));
        }
        return new PrepaidLedger(taken, next);
    }

    /** Returns a copy in which the entries of the ended holders are folded into {@link #ENDED}. */
    public PrepaidLedger fold(Collection<EndedHolder> ended) {
        PrepaidLedger next = this;
        for (EndedHolder e : ended) {
            next = next.fold(e);
        }
        return next;
    }

    private PrepaidLedger fold(EndedHolder ended) {
        Map<String, Map<String, Long>> next = new HashMap<>();
        taken.forEach((workspace, holders) -> {
            Map<String, Long> kept = new HashMap<>(holders);
            Long tokens = kept.remove(ended.holder());
            if (tokens != null) {
                kept.merge(ENDED, ended.used(workspace, tokens), Long::sum);
            }
            next.put(workspace, kept);
        });
        Map<String, Set<String>> witnessesLeft = new HashMap<>(witnesses);
        witnessesLeft.remove(ended.holder());
        return new PrepaidLedger(next, witnessesLeft);
    }
}
