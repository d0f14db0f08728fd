package io.hornbeamfield.core.placement;

import io.hornbeamfield.core.routing.Rendezvous;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Selects a model engine by the estimated time to the first event. All instances prefer the same engine for a shared
 * prompt prefix, by rendezvous hashing, so that the prefix is computed once and cached there for all of them. Another
 * engine is selected only if waiting at the preferred one costs more than computing the prefix again.
 *
 * <p>Designed for many instances that send prompts with long shared prefixes while some engines are down. Each instance
 * knows only its own requests; the event intervals of its streams show which engines are loaded by the others.
 */
public final class EnginePlacement {
    /** Prefill speed of the engines. */
    private static final double PREFILL_TOKENS_PER_MS = 125;

    /**
     * Weight of the prefill time of a prefix that is not cached. Computing it again delays the other requests of that
     * engine and evicts another prefix from its cache. In a simulation of the worst load, factors from 12 to 16 make
     * the fewest streams late (docs/BENCH.md).
     */
    private static final double CACHE_MISS_FACTOR = 12;

    /** Delay that a running request adds to an engine's steps; larger values move more prefixes to other engines. */
    private static final double MS_PER_RUNNING_REQUEST = 1;

    /** Weight of the event interval, which grows with the load of all instances on an engine. */
    private static final double EVENT_INTERVAL_FACTOR = 2;

    private EnginePlacement() {}

    /**
     * Selects an engine, or none if there are no candidates.
     *
     * @param prefixId id of the longest shared prefix of the prompt; empty if nothing is shared
     * @param sharedTokens number of tokens in the shared prefix
     * @param instances number of instances that send to the same engines; each one knows only its own requests
     */
    public static Optional<Candidate> choose(
            String prefixId, long sharedTokens, List<Candidate> candidates, int instances) {
        Optional<String> preferred = prefixId.isEmpty()
                ? Optional.empty()
                : candidates.stream()
                        .max(Comparator.comparingLong(c -> Rendezvous.weight(prefixId, c.id())))
                        .map(Candidate::id);
        return candidates.stream()
                .min(Comparator.comparingDouble((Candidate c) -> cost(c, preferred, sharedTokens, instances))
                        .thenComparing(Candidate::id));
    }

    private static double cost(Candidate c, Optional<String> preferred, long sharedTokens, int instances) {
        boolean cached = preferred.isEmpty() || preferred.get().equals(c.id());
        double prefill = cached ? 0 : CACHE_MISS_FACTOR * sharedTokens / PREFILL_TOKENS_PER_MS;
        // Own requests are a sample of all requests. Its error grows with the number of instances, so it is scaled by
        // the square root only.
        double scale = Math.sqrt(Math.max(1, instances));
        return prefill
                + c.promptTokensAhead() / PREFILL_TOKENS_PER_MS
                + c.outstanding() * MS_PER_RUNNING_REQUEST * scale
                + c.eventIntervalMs() * EVENT_INTERVAL_FACTOR;
    }
}
