package io.hornbeamfield.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.routing.Rendezvous;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against computing a prefix on every engine, and against overloading a single engine. */
final class EnginePlacementTest {
    private static final int ENGINES = 6;
    private static final int INSTANCES = 8;
    private static final long SHARED = 5_382;
    private static final int SEEDS = 10;

    private static List<Candidate> idle() {
        List<Candidate> list = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            list.add(Candidate.of("e" + i, 64, 0, 0));
        }
        return list;
    }

    /** Scenario: many instances and light load, with 159 long prefixes shared by prompts. */
    @Test
    void allInstancesSendAPrefixToTheSameEngineWhileTheLoadIsLight() {
        Map<String, Set<String>> enginesByPrefix = new HashMap<>();
        Random random = new Random(1);
        for (int i = 0; i < 5_000; i++) {
            String prefix = "p" + random.nextInt(159);
            String engine = EnginePlacement.choose(prefix, SHARED, idle(), INSTANCES)
                    .orElseThrow()
                    .id();
            enginesByPrefix.computeIfAbsent(prefix, p -> new HashSet<>()).add(engine);
        }
        assertThat(enginesByPrefix.values()).allSatisfy(e -> assertThat(e).hasSize(1));
    }

    /**
     * Scenario: one prefix gets most of the traffic; each prompt has 6,610 tokens of its own, the average in
     * production.
     */
    @Test
    void aPrefixWithMuchTrafficSpreadsOverEngines() {
        Map<String, Integer> outstanding = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            List<Candidate> now = new ArrayList<>();
            for (int e = 0; e < ENGINES; e++) {
                int open = outstanding.getOrDefault("e" + e, 0);
                now.add(Candidate.of("e" + e, 64, open, open * 6_610L));
            }
            String engine = EnginePlacement.choose("hot", SHARED, now, INSTANCES)
                    .orElseThrow()
                    .id();
            outstanding.merge(engine, 1, Integer::sum);
        }
        assertThat(outstanding).hasSize(ENGINES);
        assertThat(outstanding.values()).allSatisfy(n -> assertThat(n).isLessThan(25));
    }

    private static EngineSimulation.Outcome simulate(EngineSimulation.Policy policy) {
        int late = 0;
        int streams = 0;
        long recomputed = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            EngineSimulation.Outcome o = new EngineSimulation(seed, policy).run();
            late += o.late();
            streams += o.streams();
            recomputed += o.prefixTokensRecomputed();
        }
        return new EngineSimulation.Outcome(late, streams, recomputed);
    }

    private static Candidate withoutInterval(Candidate c) {
        return Candidate.of(c.id(), c.slots(), c.outstanding(), c.promptTokensAhead());
    }

    /** Scenario: 2.2 times the usual traffic while two of six engines are down. */
    @Test
    void atTheWorstLoadObservationsMakeFewerStreamsLateThanEveryBlindPolicy() {
        EngineSimulation.Outcome chosen = simulate((p, s, c) -> EnginePlacement.choose(p, s, c, INSTANCES));
        EngineSimulation.Outcome blind = simulate((p, s, c) -> EnginePlacement.choose(
                p, s, c.stream().map(EnginePlacementTest::withoutInterval).toList(), INSTANCES));
        EngineSimulation.Outcome fewest = simulate((p, s, c) -> c.stream()
                .min(Comparator.comparingInt(Candidate::outstanding)
                        .thenComparingLong(x -> -Rendezvous.weight(p, x.id()))));
        EngineSimulation.Outcome prefixOnly =
                simulate((p, s, c) -> c.stream().max(Comparator.comparingLong(x -> Rendezvous.weight(p, x.id()))));
        System.out.printf(
                "late of %d: chosen %d, without observations %d, fewest outstanding %d, prefix only %d;"
                        + " prefix tokens recomputed: %d, %d, %d, %d%n",
                chosen.streams(),
                chosen.late(),
                blind.late(),
                fewest.late(),
                prefixOnly.late(),
                chosen.prefixTokensRecomputed(),
                blind.prefixTokensRecomputed(),
                fewest.prefixTokensRecomputed(),
                prefixOnly.prefixTokensRecomputed());
        assertThat(chosen.late()).isLessThan(blind.late());
        assertThat(chosen.late()).isLessThan(fewest.late());
        assertThat(chosen.late()).isLessThan(prefixOnly.late());
        assertThat(chosen.prefixTokensRecomputed()).isLessThan(fewest.prefixTokensRecomputed());
    }

    @Test
    void withoutEnginesThereIsNoChoice() {
        assertThat(EnginePlacement.choose("p", 1, List.of(), INSTANCES)).isEmpty();
        assertThat(ServicePlacement.choose(List.of(), new Random(1))).isEmpty();
    }

    @Test
    void aPlainServiceCallGoesToAServerWithTheFewestOwnRequests() {
        List<Candidate> servers = List.of(Candidate.of("busy", 6, 3, 0), Candidate.of("free", 6, 0, 0));
        for (int i = 0; i < 20; i++) {
            assertThat(ServicePlacement.choose(servers, new Random(i))
                            .orElseThrow()
                            .id())
                    .isEqualTo("free");
        }
    }
}
