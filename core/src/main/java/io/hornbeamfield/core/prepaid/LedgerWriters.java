package io.hornbeamfield.core.prepaid;

import io.hornbeamfield.core.routing.Rendezvous;
import java.util.Collection;
import java.util.Comparator;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Selects the instances that take tokens from the ledger and hold them. In a small fleet all instances do. In a large
 * fleet a few do, and transfer tokens to the others request by request.
 *
 * <p>Designed for 86 instances that share 24 workspaces. Most workspaces send each instance at most one request every
 * few seconds. If every instance held tokens, a single holding would cover no request, most of the total would be
 * stranded, and each request would need a write that conflicts with those of the other instances.
 *
 * <pre>{@code
 * Set<String> writers = LedgerWriters.of(candidates);
 * }</pre>
 */
public final class LedgerWriters {
    /** Largest fleet in which all instances write; each one is then connected to 12 others. */
    private static final int MAX_SMALL_FLEET = 13;

    /** Writers of a large fleet, as many as a small site has; as witnesses of each other, half may be lost at once. */
    private static final int WRITERS = 8;

    /** An instance and its processing capacity in standard cores. */
    public record Candidate(String name, double capacity) {}

    private LedgerWriters() {}

    /**
     * Returns the names of the selected instances. Those with the largest capacity come first, because writers also
     * serve the other instances: with 0.36 cores they are too slow to write while others do.
     */
    public static Set<String> of(Collection<Candidate> instances) {
        return instances.stream()
                .sorted(Comparator.comparingDouble((Candidate c) -> -c.capacity())
                        .thenComparingLong(c -> -Rendezvous.weight("ledger", c.name())))
                .limit(instances.size() <= MAX_SMALL_FLEET ? instances.size() : WRITERS)
                .map(Candidate::name)
                .collect(Collectors.toUnmodifiableSet());
    }
}
