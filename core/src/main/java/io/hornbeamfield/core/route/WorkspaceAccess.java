package io.hornbeamfield.core.route;

import java.util.Optional;
import java.util.Set;

/**
 * A workspace with the keys of its callers.
 *
 * @param priority overrides the priority of the route if present
 * @param prepaidTokens total number of tokens that the workspace may use; empty if it is not limited
 * @param homeRegions regions that the requests may reach
 */
public record WorkspaceAccess(
        String name,
        Set<String> keys,
        Optional<Integer> priority,
        Optional<Long> prepaidTokens,
        HomeRegions homeRegions) {
    public WorkspaceAccess {
        keys = Set.copyOf(keys);
    }

    /** Creates a workspace whose requests may reach all regions. */
    public WorkspaceAccess(String name, Set<String> keys, Optional<Integer> priority, Optional<Long> prepaidTokens) {
        this(name, keys, priority, prepaidTokens, HomeRegions.ANY);
    }
}
