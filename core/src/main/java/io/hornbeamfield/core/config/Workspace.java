package io.hornbeamfield.core.config;

import java.util.List;
import java.util.Optional;

/**
 * A tenant of the fleet. Caller keys are stored as lower-case hexadecimal SHA-256 hashes. The allotment horizon, if
 * present, overrides that of the active preset.
 */
public record Workspace(
        String name, List<String> keyHashes, Priority priority, Optional<Long> allotmentHorizonSeconds) {

    public Workspace {
        keyHashes = List.copyOf(keyHashes);
    }
}
