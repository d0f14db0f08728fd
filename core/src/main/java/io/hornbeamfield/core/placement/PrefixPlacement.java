package io.hornbeamfield.core.placement;

import io.hornbeamfield.core.routing.Rendezvous;
import java.time.Clock;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Selects an engine by weighing, for each request, the prefill that a cached prefix saves against the wait.
 *
 * <p>All instances derive the same few engines for a prefix by rendezvous hashing; a prefix with a larger share of the
 * work gets more of them. Among these an instance draws engines in proportion to their learned speeds and takes the one
 * with the lowest expected time to the first event. An engine elsewhere is selected only if it is clearly faster.
 *
 * <p>Designed for a hundred instances before a hundred engines of 12 slots and different speeds, with bursts of 2.4
 * times the usual load and one prefix with 0.28 of the requests of its kind. Not thread-safe.
 */
public final class PrefixPlacement {
    /**
     * Engines of a prefix with little demand. In the replay, one engine leaves the load of hashing uneven, and each
     * further one adds a prefill of the prefix without fewer late first events (docs/BENCH.md).
     */
    private static final int MIN_ENGINES_PER_PREFIX = 2;

    /** Engines of a prefix in multiples of its share of all engines; with 1, they are the busiest in the replay. */
    private static final double HEADROOM = 1.5;

    /** Number of engines drawn for a comparison. */
    private static final int DRAWN = 3;

    /** Gain for which a request leaves the engines of its prefix; 5 to 60 ms do equally well in the replay. */
    private static final double CLEAR_BENEFIT_MS = 20;

    /**
     * Cost of a prefill that an engine has to repeat, in multiples of its duration, since it also delays that engine's
     * streams. With less, the replay repeats more prefills without fewer late first events (docs/BENCH.md).
     */
    private static final double REPEAT_FACTOR = 12;

    /** A prefix that was not used for this time is prefilled again without a charge. */
    private static final double CHARGED_MS = 10_000;

    /** Weight of the excess of the event interval; 1 to 6 do equally well in the replay. */
    private static final double LOAD_FACTOR = 2;

    /** Costs in the same interval of this length are equal: the zone decides, and then the order of drawing. */
    private static final double RESOLUTION_MS = 5;

    private static final double DEMAND_DECAY_MS = 15_000;

    /** An output token occupies a slot for 3.5 ms, in which 400 prompt tokens are prefilled. */
    private static final double WORK_PER_OUTPUT_TOKEN = 400;

    private static final int MAX_PREFIXES = 512;
    private static final int MAX_USES = 4_096;

    private final Clock clock;
    private final EngineEstimates estimates;
    private final RandomGenerator random;
    private final Map<String, Demand> demands = bounded(MAX_PREFIXES);
    private final Map<Use, Long> uses = bounded(MAX_USES);
    private Demand total = Demand.none(0);

    /**
     * A prompt to be placed.
     *
     * @param prefixId id of the longest shared prefix, empty if nothing is shared
     * @param sharedTokens tokens of that prefix
     * @param tokens all prompt tokens
     * @param maxOutputTokens largest number of output tokens
     */
    public record Prompt(String prefixId, long sharedTokens, long tokens, long maxOutputTokens) {
        /** Returns the tokens that are not shared. */
        public long ownTokens() {
            return Math.max(0, tokens - sharedTokens);
        }

        /** Returns whether the prompt and its output fit in the cache of an engine; a size of 0 is unknown. */
        public boolean fits(long cacheTokens) {
            return cacheTokens <= 0 || tokens + maxOutputTokens <= cacheTokens;
        }
    }

    /**
     * A selected engine.
     *
     * @param expectedMs expected time to the first event
     * @param prefillMs part of it that the prefill takes
     */
    public record Choice(Candidate engine, double expectedMs, double prefillMs) {}

    /**
     * This instance's recent demand: slot time in prompt tokens, requests, prompt tokens, and the largest slot time.
     */
    private record Demand(double work, double requests, double promptTokens, double largest, long atMs) {
        static Demand none(long nowMs) {
            return new Demand(0, 0, 0, 0, nowMs);
        }

        Demand at(long nowMs) {
            double f = Math.exp(-Math.max(0, nowMs - atMs) / DEMAND_DECAY_MS);
            return new Demand(work * f, requests * f, promptTokens * f, largest * f, nowMs);
        }

        Demand plus(Prompt p) {
            double w = p.ownTokens() + p.maxOutputTokens() * WORK_PER_OUTPUT_TOKEN;
            return new Demand(work + w, requests + 1, promptTokens + p.ownTokens(), Math.max(largest, w), atMs);
        }
    }

    /** A prefix on an incarnation of an engine. */
    private record Use(String prefixId, String engine) {}

    private record Costed(Candidate engine, double costMs, double expectedMs, double prefillMs) {}

    public PrefixPlacement(Clock clock, EngineEstimates estimates, RandomGenerator random) {
        this.clock = clock;
        this.estimates = estimates;
        this.random = random;
    }

    private static <K, V> Map<K, V> bounded(int max) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > max;
            }
        };
    }

    /** Records that a prompt is sent to an engine. */
    public void sent(Prompt prompt, String engine) {
        long now = clock.millis();
        total = total.at(now).plus(prompt);
        if (!prompt.prefixId().isEmpty()) {
            demands.put(prompt.prefixId(), demand(prompt, now).plus(prompt));
            uses.put(new Use(prompt.prefixId(), engine), now);
        }
    }

    private Demand demand(Prompt prompt, long now) {
        return demands.getOrDefault(prompt.prefixId(), Demand.none(now)).at(now);
    }

    /**
     * Selects an engine, or none if there are no candidates.
     *
     * @param cacheTokens tokens that fit in the cache of an engine
     * @param instances number of instances that send to the same engines
     * @param ownZone whether an engine is in the zone of this instance
     */
    public Optional<Choice> choose(
            Prompt prompt, List<Candidate> candidates, long cacheTokens, int instances, Predicate<String> ownZone) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        long now = clock.millis();
        List<Candidate> home = home(prompt, candidates, now);
        Costs costs = new Costs(prompt, home, candidates.size(), cacheTokens, instances, ownZone, now);
        Costed best = costs.best(draw(home));
        if (home.size() < candidates.size()) {
            Costed other = costs.best(draw(candidates));
            best = other.costMs() + CLEAR_BENEFIT_MS < best.costMs() ? other : best;
        }
        return Optional.of(new Choice(best.engine(), best.expectedMs(), best.prefillMs()));
    }

    /** Returns the estimate for an engine that another policy has selected. */
    public Choice estimate(
            Prompt prompt, Candidate engine, List<Candidate> candidates, long cacheTokens, int instances) {
        long now = clock.millis();
        Costs costs = new Costs(
                prompt, home(prompt, candidates, now), candidates.size(), cacheTokens, instances, id -> true, now);
        Costed c = costs.cost(engine);
        return new Choice(engine, c.expectedMs(), c.prefillMs());
    }

    /** Returns the engines of the prefix, the same ones at all instances apart from their number. */
    private List<Candidate> home(Prompt prompt, List<Candidate> candidates, long now) {
        if (prompt.prefixId().isEmpty()) {
            return candidates;
        }
        Demand d = demand(prompt, now);
        // A single request is no evidence of demand.
        double known = Math.max(0, d.work() - d.largest());
        double share = known / Math.max(1, total.at(now).work());
        int count = (int) Math.max(MIN_ENGINES_PER_PREFIX, Math.ceil(HEADROOM * share * candidates.size()));
        if (count >= candidates.size()) {
            return candidates;
        }
        Map<String, Long> weights = new HashMap<>();
        candidates.forEach(c -> weights.put(c.id(), Rendezvous.weight(prompt.prefixId(), c.id())));
        return candidates.stream()
                .sorted(Comparator.comparingLong((Candidate c) -> -weights.getOrDefault(c.id(), 0L))
                        .thenComparing(Candidate::id))
                .limit(count)
                .toList();
    }

    /** Draws a few engines in proportion to their speeds, so that a slow one gets less work, but not none. */
    private List<Candidate> draw(List<Candidate> from) {
        List<Candidate> left = new ArrayList<>(from);
        List<Candidate> drawn = new ArrayList<>();
        while (drawn.size() < DRAWN && !left.isEmpty()) {
            double sum = left.stream().mapToDouble(c -> estimates.speed(c.id())).sum();
            double at = random.nextDouble() * sum;
            int i = 0;
            while (i < left.size() - 1 && (at -= estimates.speed(left.get(i).id())) >= 0) {
                i++;
            }
            drawn.add(left.remove(i));
        }
        return drawn;
    }

    /** Costs of the engines for one prompt. */
    private final class Costs {
        private final Prompt prompt;
        private final List<Candidate> home;
        private final Predicate<String> ownZone;
        private final long now;
        private final double fleetUsesPerMs;
        private final double retentionMs;

        Costs(
                Prompt prompt,
                List<Candidate> home,
                int engines,
                long cacheTokens,
                int instances,
                Predicate<String> ownZone,
                long now) {
            this.prompt = prompt;
            this.home = home;
            this.ownZone = ownZone;
            this.now = now;
            // Half a request stands for a prefix that only other instances use.
            this.fleetUsesPerMs = (demand(prompt, now).requests() + 0.5) * instances / DEMAND_DECAY_MS;
            // This instance's requests are a sample of those that fill the caches.
            double tokensPerMs = total.at(now).promptTokens() * instances / engines / DEMAND_DECAY_MS;
            this.retentionMs = cacheTokens / Math.max(1, tokensPerMs);
        }

        Costed best(List<Candidate> from) {
            return from.stream()
                    .map(this::cost)
                    .min(Comparator.comparingDouble((Costed x) -> Math.floor(x.costMs() / RESOLUTION_MS))
                            .thenComparing(x -> !ownZone.test(x.engine().id())))
                    .orElseThrow();
        }

        private Costed cost(Candidate c) {
            double speed = estimates.tokensPerMs(c.id());
            double sharedMs = (1 - cachedProbability(c)) * prompt.sharedTokens() / speed;
            double chargedMs = REPEAT_FACTOR * sharedMs * (1 - Math.exp(-fleetUsesPerMs * CHARGED_MS));
            double prefillMs = prompt.ownTokens() / speed + sharedMs;
            double loadMs = LOAD_FACTOR * estimates.loadMs(c.id())
                    + c.outstanding() * estimates.intervalMs(c.id())
                    + c.promptTokensAhead() / speed;
            double expectedMs = estimates.waitMs(c.id()) + loadMs + prefillMs;
            return new Costed(c, expectedMs + chargedMs, expectedMs, prefillMs);
        }

        /** Returns the probability that an engine has the prefix, from own requests and from those of others. */
        private double cachedProbability(Candidate c) {
            long sinceRestartMs = estimates.sinceRestartMs(c.id());
            Long used = uses.get(new Use(prompt.prefixId(), c.id()));
            double byOwn = used != null && now - used < sinceRestartMs ? Math.exp(-(now - used) / retentionMs) : 0;
            double windowMs = Math.min(retentionMs, sinceRestartMs);
            double byOthers = home.contains(c) ? 1 - Math.exp(-fleetUsesPerMs / home.size() * windowMs) : 0;
            return 1 - (1 - byOwn) * (1 - byOthers);
        }
    }
}
