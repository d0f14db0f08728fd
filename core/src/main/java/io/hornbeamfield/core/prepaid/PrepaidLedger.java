package io.hornbeamfield.core.prepaid;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The ledger of tokens that holders have taken from prepaid totals, stored as one object in the platform's store. A
 * holder is one incarnation of an instance. Tokens that a holder has taken and not returned count as used, also after
 * its process has ended.
 *
 * @param taken tokens by workspace and holder
 * @param witnesses by holder, the holders that record an upper bound of its use
 * @param era the era of the store's content in which the ledger was written, 0 if it is not known
 * @param basis the newest ledger of an earlier era whose content this one includes, null if there is none
 * @param undeclared holders that have not declared in this era what they have taken
 * @param closed whether those holders are charged a bound of what they have taken, so that it can be used without them
 */
public record PrepaidLedger(
        Map<String, Map<String, Long>> taken,
        Map<String, Set<String>> witnesses,
        long era,
        @Nullable Version basis,
        Set<String> undeclared,
        boolean closed) {
    /**
     * Orders the ledgers of a store that may have come back from older copies.
     *
     * @param era the era in which a ledger was written
     * @param revision the number of its revision in that era
     */
    public record Version(long era, long revision) implements Comparable<Version> {
        static final Version NONE = new Version(Long.MIN_VALUE, Long.MIN_VALUE);

        @Override
        public int compareTo(Version other) {
            return era == other.era ? Long.compare(revision, other.revision) : Long.compare(era, other.era);
        }
    }

    /** Name of the entry that sums up the use of all holders that have ended. */
    public static final String ENDED = "ended";

    /** Stands for the undeclared holders whose names are not known. */
    static final String UNNAMED = "unnamed";

    public PrepaidLedger {
        Map<String, Map<String, Long>> copy = new TreeMap<>();
        taken.forEach((workspace, holders) -> copy.put(workspace, Map.copyOf(holders)));
        taken = Map.copyOf(copy);
        witnesses = Map.copyOf(witnesses);
        undeclared = Set.copyOf(undeclared);
    }

    /** Returns an empty ledger. */
    public static PrepaidLedger empty() {
        return new PrepaidLedger(Map.of(), Map.of(), 0, null, Set.of(), false);
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

    /** Returns by workspace the tokens that a holder has taken, without workspaces of which it has none. */
    public Map<String, Long> takenBy(String holder) {
        Map<String, Long> own = new HashMap<>();
        taken.forEach((workspace, holders) -> {
            long tokens = holders.getOrDefault(holder, 0L);
            if (tokens != 0) {
                own.put(workspace, tokens);
            }
        });
        return own;
    }

    /** Returns a copy in which the tokens that a holder has taken are those given by workspace. */
    PrepaidLedger with(String holder, Map<String, Long> tokens) {
        Set<String> workspaces = new HashSet<>(takenBy(holder).keySet());
        workspaces.addAll(tokens.keySet());
        PrepaidLedger next = this;
        for (String workspace : workspaces) {
            next = next.with(workspace, holder, tokens.getOrDefault(workspace, 0L));
        }
        return next;
    }

    /** Returns a copy that was written in the given era. */
    PrepaidLedger ofEra(long nextEra) {
        return new PrepaidLedger(taken, witnesses, nextEra, basis, undeclared, closed);
    }

    /**
     * Returns a copy that is based on the given ledger of an earlier era and lacks the declarations of some holders.
     */
    PrepaidLedger restored(Version nextBasis, Set<String> missing, boolean isClosed) {
        @Nullable Version known = nextBasis.equals(Version.NONE) ? null : nextBasis;
        return new PrepaidLedger(taken, witnesses, era, known, missing, isClosed);
    }

    /** Returns whether the ledger can be used without the holders that have not declared. */
    boolean isComplete() {
        return closed || undeclared().isEmpty();
    }

    Version basisOrNone() {
        return basis == null ? Version.NONE : basis;
    }

    /** Returns the instance of which a holder is an incarnation. */
    static String instanceOf(String holder) {
        int end = holder.lastIndexOf('/');
        return end < 0 ? holder : holder.substring(0, end);
    }

    /** Returns the holders that have tokens or witnesses, without {@link #ENDED}. */
    Set<String> activeHolders() {
        Set<String> active = new HashSet<>(witnesses.keySet());
        taken.values()
                .forEach(holders -> holders.forEach((name, tokens) -> {
                    if (tokens != 0) {
                        active.add(name);
                    }
                }));
        active.remove(ENDED);
        return active;
    }

    /** Returns a copy in which the tokens that a holder has taken are set to the given number. */
    public PrepaidLedger with(String workspace, String holder, long tokens) {
        Map<String, Map<String, Long>> next = new HashMap<>(taken);
        Map<String, Long> holders = new HashMap<>(taken.getOrDefault(workspace, Map.of()));
        holders.put(holder, tokens);
        next.put(workspace, holders);
        return new PrepaidLedger(next, witnesses, era, basis, undeclared, closed);
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
        return new PrepaidLedger(taken, next, era, basis, undeclared, closed);
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
        Set<String> undeclaredLeft = new HashSet<>(undeclared());
        undeclaredLeft.remove(ended.holder());
        return new PrepaidLedger(next, witnessesLeft, era, basis, undeclaredLeft, closed);
    }
}
