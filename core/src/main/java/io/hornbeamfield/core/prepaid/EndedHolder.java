package io.hornbeamfield.core.prepaid;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A holder whose process has ended.
 *
 * @param limits the most that it can have used by workspace, as its witnesses know; a workspace that is not named was
 *     not used. Empty if too few witnesses were found: then all that it took counts as used.
 */
public record EndedHolder(String holder, Optional<Map<String, Long>> limits) {
    /**
     * Combines what witnesses answered after the holder's end.
     *
     * @param witnesses the holder's witnesses, as the ledger names them
     * @param answers limits by instance and workspace; those of other instances than the witnesses do not count
     */
    public static Optional<EndedHolder> fromAnswers(
            String holder, Set<String> witnesses, Map<String, Map<String, Long>> answers) {
        Map<String, Long> most = new HashMap<>();
        int count = 0;
        for (String w : witnesses) {
            Map<String, Long> answer = answers.get(w);
            if (answer != null) {
                count++;
                answer.forEach((workspace, limit) -> most.merge(workspace, limit, Math::max));
            }
        }
        boolean enough = count > 0 && count >= WitnessQuorum.requiredAnswers(witnesses.size());
        return enough ? Optional.of(new EndedHolder(holder, Optional.of(Map.copyOf(most)))) : Optional.empty();
    }

    long used(String workspace, long taken) {
        return limits.map(l -> Math.min(taken, l.getOrDefault(workspace, 0L))).orElse(taken);
    }
}
