package io.hornbeamfield.core.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/**
 * Simulates the worst load of a day: eight instances in front of six batching engines, prompts with long shared
 * prefixes, 2.2 times the usual traffic for 3 s, and two engines down for 2 s of these.
 */
final class EngineSimulation {
    private static final int ENGINES = 6;
    private static final int INSTANCES = 8;
    private static final int SUBJECTS = 159;
    private static final int CHUNK_TOKENS = 1_024;
    private static final int SLOTS = 64;
    private static final int TOKENS_PER_EVENT = 6;
    private static final double PREFILL_TOKENS_PER_MS = 125;
    private static final double STEP_MS = 3.27;
    private static final double STEP_MS_PER_REQUEST = 0.0823;
    private static final long CACHE_TOKENS = 708_113;
    private static final int END_MS = 14_000;
    private static final int BURST_FROM_MS = 5_000;
    private static final int BURST_TO_MS = 8_000;
    private static final int DOWN_FROM_MS = 5_500;
    private static final int DOWN_TO_MS = 7_500;

    /** Selects an engine for a request by the candidates as one instance sees them. */
    interface Policy {
        Optional<Candidate> choose(String prefix, long shared, List<Candidate> candidates);
    }

    /** Streams whose first event missed the objective, all streams, and shared tokens that were computed again. */
    record Outcome(int late, int streams, long prefixTokensRecomputed) {}

    private final Random random;
    private final Policy policy;
    private final List<Engine> engines = new ArrayList<>();
    private final Map<String, EventInterval> intervals = new HashMap<>();
    private int late;
    private int streams;
    private long prefixTokensRecomputed;

    EngineSimulation(int seed, Policy policy) {
        this.random = new Random(seed);
        this.policy = policy;
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new Engine("e" + i));
        }
    }

    Outcome run() {
        double requestsPerSecond = 13.2 + 18.6 + 25.8;
        double nextArrival = 0;
        for (int now = 0; now < END_MS; now++) {
            boolean burst = now >= BURST_FROM_MS && now < BURST_TO_MS;
            while (nextArrival <= now) {
                send(now);
                nextArrival += -Math.log(1 - random.nextDouble()) * 1_000 / (requestsPerSecond * (burst ? 2.2 : 1));
            }
            for (int e = 0; e < ENGINES; e++) {
                engines.get(e).setDown(e < 2 && now >= DOWN_FROM_MS && now < DOWN_TO_MS);
                engines.get(e).advance(now);
            }
        }
        return new Outcome(late, streams, prefixTokensRecomputed);
    }

    private void send(int now) {
        double kind = random.nextDouble() * 57.6;
        Request r;
        if (kind < 13.2) {
            r = new Request("r" + random.nextInt(SUBJECTS), 5_382, size(6_610), 384, 600);
        } else if (kind < 31.8) {
            r = new Request("b" + random.nextInt(225), 198, size(628), 294, 300);
        } else {
            r = new Request("n" + random.nextInt(139), 568, size(1_800), 24, 400);
        }
        r.instance = random.nextInt(INSTANCES);
        r.sentMs = now;
        List<Candidate> candidates = new ArrayList<>();
        for (Engine e : engines) {
            if (!e.down) {
                candidates.add(e.candidateFor(r.instance));
            }
        }
        streams++;
        String id = policy.choose(r.prefix, r.shared, candidates).orElseThrow().id();
        engines.stream().filter(e -> e.id.equals(id)).findFirst().orElseThrow().accept(r);
    }

    private long size(double mean) {
        return (long) Math.min(54_600, mean / 2 + mean / 2 * -Math.log(1 - random.nextDouble()));
    }

    private EventInterval interval(int instance, String engine) {
        return intervals.computeIfAbsent(instance + engine, k -> new EventInterval());
    }

    /** One stream. */
    private static final class Request {
        private final String prefix;
        private final long shared;
        private final long own;
        private final int objectiveMs;
        private int outputLeft;
        private int instance;
        private int sentMs;
        private long tokensToPrefill;
        private int tokens;
        private int lastEventMs = -1;

        Request(String prefix, long shared, long own, int output, int objectiveMs) {
            this.prefix = prefix;
            this.shared = shared;
            this.own = own;
            this.outputLeft = output;
            this.objectiveMs = objectiveMs;
        }
    }

    /** A batching engine with chunked prefill, interleaved with the decoding of running requests. */
    private final class Engine {
        private final String id;
        private final Deque<Request> prefilling = new ArrayDeque<>();
        private final List<Request> running = new ArrayList<>();
        private final LinkedHashMap<String, Long> cache = new LinkedHashMap<>(16, 0.75f, true);
        private final Map<String, Boolean> computedBefore = new HashMap<>();
        private double stepEndsMs;
        private boolean down;

        Engine(String id) {
            this.id = id;
        }

        void setDown(boolean value) {
            if (value && !down) {
                prefilling.clear();
                running.clear();
                cache.clear();
            }
            down = value;
        }

        Candidate candidateFor(int instance) {
            long ahead = prefilling.stream()
                    .filter(r -> r.instance == instance)
                    .mapToLong(r -> r.shared + r.own)
                    .sum();
            int outstanding = (int) (prefilling.stream()
                            .filter(r -> r.instance == instance)
                            .count()
                    + running.stream().filter(r -> r.instance == instance).count());
            return new Candidate(
                    id, SLOTS, outstanding, ahead, interval(instance, id).meanMs());
        }

        void accept(Request r) {
            boolean cached = cache.get(r.prefix) != null;
            r.tokensToPrefill = r.own + (cached ? 0 : r.shared);
            boolean elsewhere = engines.stream().anyMatch(e -> e.computedBefore.containsKey(r.prefix));
            prefixTokensRecomputed += !cached && elsewhere ? r.shared : 0;
            cache.put(r.prefix, r.shared);
            computedBefore.put(r.prefix, true);
            long size = cache.values().stream().mapToLong(Long::longValue).sum();
            while (size > CACHE_TOKENS) {
                String oldest = cache.keySet().iterator().next();
                size -= cache.remove(oldest);
            }
            prefilling.add(r);
        }

        void advance(int now) {
            if (down || now < stepEndsMs) {
                return;
            }
            List<Request> finished = new ArrayList<>();
            for (Request r : running) {
                token(r, now);
                if (--r.outputLeft <= 0) {
                    finished.add(r);
                }
            }
            running.removeAll(finished);
            double prefilled = 0;
            Request first = prefilling.peek();
            if (first != null && running.size() < SLOTS) {
                prefilled = Math.min(CHUNK_TOKENS, first.tokensToPrefill);
                first.tokensToPrefill -= (long) prefilled;
                if (first.tokensToPrefill <= 0) {
                    running.add(prefilling.poll());
                }
            }
            boolean idle = running.isEmpty() && prefilled == 0;
            stepEndsMs = idle
                    ? now
                    : now + STEP_MS + STEP_MS_PER_REQUEST * running.size() + prefilled / PREFILL_TOKENS_PER_MS;
        }

        private void token(Request r, int now) {
            if (r.tokens++ % TOKENS_PER_EVENT != 0) {
                return;
            }
            if (r.lastEventMs < 0) {
                late += now - r.sentMs > r.objectiveMs ? 1 : 0;
            } else {
                interval(r.instance, id).record(now - r.lastEventMs);
            }
            r.lastEventMs = now;
        }
    }
}
