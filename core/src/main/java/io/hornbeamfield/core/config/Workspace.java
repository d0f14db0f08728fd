package io.hornbeamfield.core.config;

import java.util.List;
import java.util.Optional;

/**
 * A customer of the fleet. Caller keys are stored as lower-case hexadecimal SHA-256 hashes. The horizon, when present,
 * replaces the one of the preset in force.
 */
public record Workspace(
        String name, List<String> keyHashes, Priority priority, Optional<Long> allotmentHorizonSeconds) {

    public Workspace {
        keyHashes = List.copyOf(keyHashes);
    }
}
