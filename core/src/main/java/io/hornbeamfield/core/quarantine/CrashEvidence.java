package io.hornbeamfield.core.quarantine;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What one instance knows of crashes of backend servers.
 *
 * @param crashes crashes that the instance has seen
 * @param exonerated parts of prompts that were served later, and the crashes that they therefore did not cause
 */
public record CrashEvidence(List<CrashReport> crashes, Map<String, Set<String>> exonerated) {
    public CrashEvidence {
        crashes = List.copyOf(crashes);
        exonerated = exonerated.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, e -> Set.copyOf(e.getValue())));
    }

    /** Returns evidence of nothing. */
    public static CrashEvidence none() {
        return new CrashEvidence(List.of(), Map.of());
    }
}
