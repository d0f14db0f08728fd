package io.hornbeamfield.core.prepaid;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Limits of what this instance uses of its holdings, known to other instances, its witnesses. When this instance ends
 * without giving its holdings back, some of them suffice to free what it cannot have used. The ledger names the
 * witnesses; a limit counts when a quorum of them knows it. Not thread-safe.
 */
final class WitnessedLimits {
    private Set<String> registered = Set.of();
    private final Set<Set<String>> proposed = new HashSet<>();
    private final Map<String, Map<String, Long>> known = new HashMap<>();

    /** Records that a witness knows limits; a smaller limit than before changes nothing. */
    void recordAcknowledgement(String witness, Map<String, Long> limits) {
        Map<String, Long> all = known.computeIfAbsent(witness, w -> new HashMap<>());
        limits.forEach((workspace, limit) -> all.merge(workspace, limit, Math::max));
    }

    /** Records the witnesses that a write to the ledger names. Until its outcome is known, the old ones count too. */
    void propose(Set<String> witnesses) {
        proposed.add(Set.copyOf(witnesses));
    }

    /** Takes over the witnesses that the ledger names; a write in progress is resolved by it. */
    void registered(Set<String> witnesses, boolean writesResolved) {
        registered = Set.copyOf(witnesses);
        if (writesResolved) {
            proposed.clear();
        }
    }

    /** Returns the witnesses to tell a limit to. */
    Set<String> all() {
        Set<String> all = new HashSet<>(registered);
        proposed.forEach(all::addAll);
        return all;
    }

    Set<String> registered() {
        return registered;
    }

    /** Returns the most that may be used if the given instances were the witnesses; without any there is no limit. */
    long limitOf(Set<String> witnesses, String workspace) {
        if (witnesses.isEmpty()) {
            return Long.MAX_VALUE;
        }
        return witnesses.stream()
                .map(w -> known.getOrDefault(w, Map.of()).getOrDefault(workspace, 0L))
                .sorted(Comparator.reverseOrder())
                .skip(WitnessQuorum.requiredAcknowledgements(witnesses.size()) - 1L)
                .findFirst()
                .orElse(0L);
    }

    /** Returns the most that may be used, whichever witnesses the ledger names. */
    long limit(String workspace) {
        long least = limitOf(registered, workspace);
        for (Set<String> p : proposed) {
            least = Math.min(least, limitOf(p, workspace));
        }
        return least;
    }
}
