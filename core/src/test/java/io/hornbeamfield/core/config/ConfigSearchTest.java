package io.hornbeamfield.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.config.ConfigSimulation.Kind;
import io.hornbeamfield.core.config.ConfigSimulation.Step;
import java.time.Clock;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Searches random and exhaustive fault schedules for reverted revisions, routers that serve too early and lost operator
 * changes. Each faulty variant of the adoption must be detected, which shows that the search can fail.
 */
class ConfigSearchTest {
    private static final int SCHEDULES = 100_000;
    private static final int LENGTH = 60;
    private static final Kind[] WEIGHTED_KINDS = Stream.of(Kind.values())
            .flatMap(k -> Collections.nCopies(k.weight, k).stream())
            .toArray(Kind[]::new);

    private static Optional<String> runRandom(long seed, Function<Clock, OverridableAdoption> adoptions) {
        SplittableRandom random = new SplittableRandom(seed);
        ConfigSimulation simulation = new ConfigSimulation(2 + random.nextInt(2), adoptions);
        for (int i = 0; i < LENGTH && simulation.violation().isEmpty(); i++) {
            Kind kind = WEIGHTED_KINDS[random.nextInt(WEIGHTED_KINDS.length)];
            simulation.perform(new Step(kind, random.nextInt(12), random.nextInt(12)));
        }
        simulation.quiesce(random.nextInt(3) > 0);
        return simulation.violation().map(v -> "seed " + seed + ": " + v);
    }

    private static Optional<String> search(Function<Clock, OverridableAdoption> adoptions) {
        return LongStream.range(0, SCHEDULES)
                .parallel()
                .mapToObj(seed -> runRandom(seed, adoptions))
                .flatMap(Optional::stream)
                .findAny();
    }

    private static void assertFound(String expected, Function<Clock, OverridableAdoption> faulty) {
        Optional<String> found = search(faulty);
        System.out.println("faulty variant: " + found.orElse("not found"));
        assertThat(found).hasValueSatisfying(v -> assertThat(v).contains(expected));
    }

    @Test
    void randomSchedulesKeepTheInvariants() {
        long start = System.nanoTime();
        Optional<String> found = search(OverridableAdoption::new);
        System.out.printf("configuration: %d schedules in %.1f s%n", SCHEDULES, (System.nanoTime() - start) / 1e9);
        assertThat(found).isEmpty();
    }

    /** Router 0 serves the second revision; router 1 starts and reads stale or current heads. */
    @Test
    void everyShortScheduleOfAStartingRouterKeepsTheInvariants() {
        List<Step> prefix = List.of(
                new Step(Kind.OPERATOR, 0, 0),
                new Step(Kind.DELIVER, 0, 0),
                new Step(Kind.READ, 0, 0),
                new Step(Kind.DELIVER, 0, 0),
                new Step(Kind.DELIVER, 0, 0),
                new Step(Kind.ADVANCE, 0, 11),
                new Step(Kind.CHECK, 0, 0),
                new Step(Kind.RESTART, 1, 0));
        List<Step> alphabet = List.of(
                new Step(Kind.READ, 1, 0),
                new Step(Kind.READ, 1, 1),
                new Step(Kind.DELIVER, 0, 0),
                new Step(Kind.DELIVER, 1, 0),
                new Step(Kind.DROP, 0, 0),
                new Step(Kind.HEARTBEAT, 0, 1),
                new Step(Kind.HEARTBEAT, 1, 0),
                new Step(Kind.UNLINK, 1, 0),
                new Step(Kind.CHECK, 1, 0),
                new Step(Kind.RESTART, 0, 0),
                new Step(Kind.ADVANCE, 0, 11));
        int depth = 5;
        int count = (int) Math.pow(alphabet.size(), depth);
        List<String> found = IntStream.range(0, count)
                .parallel()
                .mapToObj(n -> runExhaustive(n, depth, prefix, alphabet))
                .flatMap(Optional::stream)
                .toList();
        System.out.println("configuration: " + count + " schedules to depth " + depth);
        assertThat(found).isEmpty();
    }

    private static Optional<String> runExhaustive(int number, int depth, List<Step> prefix, List<Step> alphabet) {
        ConfigSimulation simulation = new ConfigSimulation(2, OverridableAdoption::new);
        prefix.forEach(simulation::perform);
        List<Step> steps = new ArrayList<>();
        for (int i = 0, n = number; i < depth; i++, n /= alphabet.size()) {
            steps.add(alphabet.get(n % alphabet.size()));
        }
        steps.forEach(simulation::perform);
        simulation.quiesce(true);
        return simulation.violation().map(v -> steps + ": " + v);
    }

    @Test
    void adoptingOlderHeadsIsFound() {
        assertFound("the adopted revision fell", clock -> new OverridableAdoption(clock) {
            private Optional<ConfigHead> last = Optional.empty();

            @Override
            void offer(ConfigHead head) {
                last = Optional.of(head);
                super.offer(head);
            }

            @Override
            Optional<ConfigHead> adopted() {
                return last;
            }
        });
    }

    @Test
    void servingTheFirstHeadAtOnceIsFound() {
        assertFound("served", clock -> new OverridableAdoption(clock) {
            @Override
            boolean mayServe() {
                return revision() > 0;
            }
        });
    }

    @Test
    void servingAHeadThatIsOlderThanThatOfAPeerIsFound() {
        assertFound("served an older revision than a peer", clock -> new OverridableAdoption(clock) {
            private boolean answered;

            @Override
            void peerReported(String peer, long revision, long ageMs) {
                answered |= revision > 0;
                super.peerReported(peer, revision, ageMs);
            }

            @Override
            boolean mayServe() {
                return super.mayServe() || (answered && revision() > 0);
            }
        });
    }

    @Test
    void forgettingTheRevisionOfALostPeerIsFound() {
        assertFound("served an older revision than a peer", clock -> new OverridableAdoption(clock) {
            private final Map<String, Long> peers = new HashMap<>();

            @Override
            void peerReported(String peer, long revision, long ageMs) {
                peers.put(peer, revision);
                super.peerReported(peer, revision, ageMs);
            }

            @Override
            void peerLost(String peer) {
                peers.remove(peer);
                super.peerLost(peer);
            }

            @Override
            boolean mayServe() {
                boolean newest = peers.values().stream().allMatch(r -> r <= revision());
                boolean waited = !clock.instant().isBefore(startedAt.plus(ConfigAdoption.STARTUP_PEER_TIMEOUT));
                return super.mayServe() || (waited && revision() > 0 && newest);
            }

            private final java.time.Instant startedAt = clock.instant();
        });
    }

    @Test
    void announcingAHeadThatIsNotServedYetIsFound() {
        assertFound("served before a serving peer answered", clock -> new OverridableAdoption(clock) {
            @Override
            long reportedRevision() {
                return revision();
            }
        });
    }

    @Test
    void notAskingPeersIsFound() {
        assertFound("not in force", clock -> new OverridableAdoption(clock) {
            @Override
            Optional<ConfigFetch> nextFetch() {
                return super.nextFetch().filter(f -> f instanceof ConfigFetch.FromPlatform);
            }
        });
    }

    @Test
    void notAskingThePlatformIsFound() {
        assertFound("not in force", clock -> new OverridableAdoption(clock) {
            @Override
            Optional<ConfigFetch> nextFetch() {
                return super.nextFetch().filter(f -> f instanceof ConfigFetch.FromPeer);
            }
        });
    }

    @Test
    void unconditionalUpdatesOfOperatorsAreFound() {
        assertFound("two", clock -> new OverridableAdoption(clock) {
            @Override
            boolean conditionalUpdates() {
                return false;
            }
        });
    }
}
