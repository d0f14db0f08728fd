package io.hornbeamfield.core.placement;

import io.hornbeamfield.core.routing.Rendezvous;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses a model engine by the estimated time until the first event. All instances expect a shared prompt prefix at
 * the engine that rendezvous hashing names, so the prefix is read there once and found there by all of them; another
 * engine is taken only when the wait at the preferred one costs more than reading the prefix again.
 *
 * <p>Answers the load in which many instances send prompts that share long prefixes while some engines are gone: the
 * instances see only their own requests, and their own streams tell them which engines the others fill.
 */
public final class EnginePlacement {
    /** Reading speed of the engines of today's deployments. */
    private static final double PROMPT_TOKENS_PER_MS = 125;

    /**
     * Reading a prefix again delays the other requests of that engine and pushes another prefix out of its memory. In
     * the replay of the worst load, factors from 12 to 16 make the fewest streams late (docs/BENCH.md).
     */
    private static final double READ_AGAIN_FACTOR = 12;

    /** A running request slows each step of an engine; larger weights move more prefixes in the replay. */
    private static final double MS_PER_RUNNING_REQUEST = 1;

    /** Weight of the time between two events, which grows with an engine's load of all instances. */
    private static final double EVENT_INTERVAL_FACTOR = 2;

    private EnginePlacement() {}

    /**
     * Chooses an engine.
     *
     * @param prefixId id of the last shared part of the prompt; empty if nothing is shared
     * @param sharedTokens tokens of the shared parts
     * @param instances instances that send to the same engines; each one sees only its own requests
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
        double read = cached ? 0 : READ_AGAIN_FACTOR * sharedTokens / PROMPT_TOKENS_PER_MS;
        // Own requests are a sample of all; its error grows with their number, so it is not scaled up in full.
        double scale = Math.sqrt(Math.max(1, instances));
        return read
                + c.promptTokensAhead() / PROMPT_TOKENS_PER_MS
                + c.outstanding() * MS_PER_RUNNING_REQUEST * scale
                + c.eventIntervalMs() * EVENT_INTERVAL_FACTOR;
    }
}
