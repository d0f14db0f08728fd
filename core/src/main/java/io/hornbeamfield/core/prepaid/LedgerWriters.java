package io.hornbeamfield.core.prepaid;

import io.hornbeamfield.core.routing.Rendezvous;
import java.util.Collection;
import java.util.Comparator;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Which instances take tokens from the ledger and hold them. In a small fleet all do. In a large one a few do, and the
 * others get the tokens of each request from them.
 *
 * <p>Answers the load pattern of 86 instances that share 24 workspaces: most workspaces send each instance a request in
 * some seconds or fewer, so that a holding at each of them covers no request and strands most of the total, and each
 * request needs a write that conflicts with the others.
 *
 * <pre>{@code
 * Set<String> writers = LedgerWriters.of(candidates);
 * }</pre>
 */
public final class LedgerWriters {
    /** Each instance is linked with 12 others then; holdings of all instances were measured on sites of eight. */
    private static final int SMALL_FLEET = 13;

    /** As on the sites of eight: witnesses of each other, of which half may be lost at once. */
    private static final int COUNT = 8;

    /** An instance and the processors of its machine. */
    public record Candidate(String name, int processors) {}

    private LedgerWriters() {}

    /** Returns the names of the instances that write; those with the most processors answer the others. */
    public static Set<String> of(Collection<Candidate> instances) {
        return instances.stream()
                .sorted(Comparator.comparingInt((Candidate c) -> -c.processors())
                        .thenComparingLong(c -> -Rendezvous.weight("ledger", c.name())))
                .limit(instances.size() <= SMALL_FLEET ? instances.size() : COUNT)
                .map(Candidate::name)
                .collect(Collectors.toUnmodifiableSet());
    }
}
