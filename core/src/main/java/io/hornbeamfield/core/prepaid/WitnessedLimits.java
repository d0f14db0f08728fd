package io.hornbeamfield.core.prepaid;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Limits on this instance's use of its holdings, replicated to other instances, its witnesses. If this instance ends
 * without returning its holdings, a part of the witnesses suffices to release the tokens that it cannot have used. The
 * witnesses are registered in the ledger; a limit is in force once a quorum of them has acknowledged it. Not
 * thread-safe.
 */
final class WitnessedLimits {
    private Set<String> registered = Set.of();
    private final Set<Set<String>> proposed = new HashSet<>();
    private final Map<String, Map<String, Long>> acknowledged = new HashMap<>();

    /** Records limits that a witness has acknowledged; a smaller limit than before changes nothing. */
    void recordAcknowledgement(String witness, Map<String, Long> limits) {
        Map<String, Long> all = acknowledged.computeIfAbsent(witness, w -> new HashMap<>());
        limits.forEach((workspace, limit) -> all.merge(workspace, limit, Math::max));
    }

    /** Records the witnesses that a write to the ledger sets. Until the write is resolved, both sets must agree. */
    void propose(Set<String> witnesses) {
        proposed.add(Set.copyOf(witnesses));
    }

    /**
     * Applies the witnesses that the ledger registers.
     *
     * @param writesResolved whether the ledger shows the outcome of all writes, so that no proposed set is pending
     */
    void applyRegistered(Set<String> witnesses, boolean writesResolved) {
        registered = Set.copyOf(witnesses);
        if (writesResolved) {
            proposed.clear();
        }
    }

    /** Returns the registered and the proposed witnesses; a new limit is sent to all of them. */
    Set<String> all() {
        Set<String> all = new HashSet<>(registered);
        proposed.forEach(all::addAll);
        return all;
    }

    Set<String> registered() {
        return registered;
    }

    /** Returns the limit that a quorum of the given witnesses has acknowledged; unlimited if there are no witnesses. */
    long limitOf(Set<String> witnesses, String workspace) {
        if (witnesses.isEmpty()) {
            return Long.MAX_VALUE;
        }
        return witnesses.stream()
                .map(w -> acknowledged.getOrDefault(w, Map.of()).getOrDefault(workspace, 0L))
                .sorted(Comparator.reverseOrder())
                .skip(WitnessQuorum.requiredAcknowledgements(witnesses.size()) - 1L)
                .findFirst()
                .orElse(0L);
    }

    /** Returns the limit that is in force whichever of the registered or proposed sets the ledger contains. */
    long limit(String workspace) {
        long lowest = limitOf(registered, workspace);
        for (Set<String> p : proposed) {
            lowest = Math.min(lowest, limitOf(p, workspace));
        }
        return lowest;
    }
}
