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
 * Replays the worst load of a day without the bench: eight instances before six batching engines, prompts that share
 * long prefixes, traffic at 2.2 times the usual for three seconds and two engines gone for two of them.
 */
final class EngineReplay {
    private static final int ENGINES = 6;
    private static final int INSTANCES = 8;
    private static final int SUBJECTS = 159;
    private static final int CHUNK_TOKENS = 1_024;
    private static final int SLOTS = 64;
    private static final int TOKENS_PER_EVENT = 6;
    private static final double TOKENS_PER_MS = 125;
    private static final double STEP_MS = 3.27;
    private static final double STEP_MS_PER_REQUEST = 0.0823;
    private static final long CACHE_TOKENS = 708_113;
    private static final int END_MS = 14_000;
    private static final int BURST_FROM_MS = 5_000;
    private static final int BURST_TO_MS = 8_000;
    private static final int GONE_FROM_MS = 5_500;
    private static final int GONE_TO_MS = 7_500;

    /** Chooses an engine for a request as one instance sees them. */
    interface Policy {
        Optional<Candidate> choose(String prefix, long shared, List<Candidate> candidates);
    }

    /** Streams whose first event came after the objective, all streams, and shared tokens read more than once. */
    record Outcome(int late, int streams, long readAgain) {}

    private final Random random;
    private final Policy policy;
    private final List<Engine> engines = new ArrayList<>();
    private final Map<String, EventInterval> gaps = new HashMap<>();
    private int late;
    private int streams;
    private long readAgain;

    EngineReplay(int seed, Policy policy) {
        this.random = new Random(seed);
        this.policy = policy;
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new Engine("e" + i));
        }
    }

    Outcome run() {
        double perSecond = 13.2 + 18.6 + 25.8;
        double nextArrival = 0;
        for (int now = 0; now < END_MS; now++) {
            boolean burst = now >= BURST_FROM_MS && now < BURST_TO_MS;
            while (nextArrival <= now) {
                send(now);
                nextArrival += -Math.log(1 - random.nextDouble()) * 1_000 / (perSecond * (burst ? 2.2 : 1));
            }
            for (int e = 0; e < ENGINES; e++) {
                engines.get(e).gone(e < 2 && now >= GONE_FROM_MS && now < GONE_TO_MS);
                engines.get(e).advance(now);
            }
        }
        return new Outcome(late, streams, readAgain);
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
        List<Candidate> seen = new ArrayList<>();
        for (Engine e : engines) {
            if (!e.gone) {
                seen.add(e.seenBy(r.instance));
            }
        }
        streams++;
        String id = policy.choose(r.prefix, r.shared, seen).orElseThrow().id();
        engines.stream().filter(e -> e.id.equals(id)).findFirst().orElseThrow().accept(r);
    }

    private long size(double mean) {
        return (long) Math.min(54_600, mean / 2 + mean / 2 * -Math.log(1 - random.nextDouble()));
    }

    private EventInterval gap(int instance, String engine) {
        return gaps.computeIfAbsent(instance + engine, k -> new EventInterval());
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
        private long toRead;
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

    /** A batching engine that reads prompts in chunks between the tokens of running requests. */
    private final class Engine {
        private final String id;
        private final Deque<Request> reading = new ArrayDeque<>();
        private final List<Request> running = new ArrayList<>();
        private final LinkedHashMap<String, Long> cache = new LinkedHashMap<>(16, 0.75f, true);
        private final Map<String, Boolean> everRead = new HashMap<>();
        private double stepEndsMs;
        private boolean gone;

        Engine(String id) {
            this.id = id;
        }

        void gone(boolean now) {
            if (now && !gone) {
                reading.clear();
                running.clear();
                cache.clear();
            }
            gone = now;
        }

        Candidate seenBy(int instance) {
            long ahead = reading.stream()
                    .filter(r -> r.instance == instance)
                    .mapToLong(r -> r.shared + r.own)
                    .sum();
            int outstanding = (int) (reading.stream()
                            .filter(r -> r.instance == instance)
                            .count()
                    + running.stream().filter(r -> r.instance == instance).count());
            return new Candidate(
                    id, SLOTS, outstanding, ahead, gap(instance, id).meanMs());
        }

        void accept(Request r) {
            boolean cached = cache.get(r.prefix) != null;
            r.toRead = r.own + (cached ? 0 : r.shared);
            boolean elsewhere = engines.stream().anyMatch(e -> e.everRead.containsKey(r.prefix));
            readAgain += !cached && elsewhere ? r.shared : 0;
            cache.put(r.prefix, r.shared);
            everRead.put(r.prefix, true);
            long size = cache.values().stream().mapToLong(Long::longValue).sum();
            while (size > CACHE_TOKENS) {
                String oldest = cache.keySet().iterator().next();
                size -= cache.remove(oldest);
            }
            reading.add(r);
        }

        void advance(int now) {
            if (gone || now < stepEndsMs) {
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
            double read = 0;
            Request first = reading.peek();
            if (first != null && running.size() < SLOTS) {
                read = Math.min(CHUNK_TOKENS, first.toRead);
                first.toRead -= (long) read;
                if (first.toRead <= 0) {
                    running.add(reading.poll());
                }
            }
            boolean idle = running.isEmpty() && read == 0;
            stepEndsMs = idle ? now : now + STEP_MS + STEP_MS_PER_REQUEST * running.size() + read / TOKENS_PER_MS;
        }

        private void token(Request r, int now) {
            if (r.tokens++ % TOKENS_PER_EVENT != 0) {
                return;
            }
            if (r.lastEventMs < 0) {
                late += now - r.sentMs > r.objectiveMs ? 1 : 0;
            } else {
                gap(r.instance, id).record(now - r.lastEventMs);
            }
            r.lastEventMs = now;
        }
    }
}
