package io.hornbeamfield.core.route;

import java.util.Optional;
import java.util.Set;

/**
 * A workspace with the keys of its callers.
 *
 * @param priority overrides the priority of the route if present
 * @param prepaidTokens total number of tokens that the workspace may use; empty if it is not limited
 */
public record WorkspaceAccess(String name, Set<String> keys, Optional<Integer> priority, Optional<Long> prepaidTokens) {
    public WorkspaceAccess {
        keys = Set.copyOf(keys);
    }
}
