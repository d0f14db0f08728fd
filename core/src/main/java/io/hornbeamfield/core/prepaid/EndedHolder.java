package io.hornbeamfield.core.prepaid;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A holder whose process has ended.
 *
 * @param limits upper bound of the holder's use by workspace, as recorded by its witnesses; a workspace without an
 *     entry was not used. Empty if too few witnesses answered: then everything that the holder took counts as used.
 */
public record EndedHolder(String holder, Optional<Map<String, Long>> limits) {
    /**
     * Combines the answers of the witnesses of a holder that has ended. Returns empty if they are fewer than the
     * quorum.
     *
     * @param witnesses the holder's witnesses as registered in the ledger
     * @param answers limits by instance and workspace; answers of instances that are not witnesses are ignored
     */
    public static Optional<EndedHolder> fromAnswers(
            String holder, Set<String> witnesses, Map<String, Map<String, Long>> answers) {
        Map<String, Long> highest = new HashMap<>();
        int count = 0;
        for (String w : witnesses) {
            Map<String, Long> answer = answers.get(w);
            if (answer != null) {
                count++;
                answer.forEach((workspace, limit) -> highest.merge(workspace, limit, Math::max));
            }
        }
        boolean hasQuorum = count > 0 && count >= WitnessQuorum.requiredAnswers(witnesses.size());
        return hasQuorum ? Optional.of(new EndedHolder(holder, Optional.of(Map.copyOf(highest)))) : Optional.empty();
    }

    long used(String workspace, long taken) {
        return limits.map(l -> Math.min(taken, l.getOrDefault(workspace, 0L))).orElse(taken);
    }
}
