package io.hornbeamfield.core.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.route.WorkspaceAccess;
import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Searches random schedules of instances that take, spend, hand over and give back tokens while answers are lost,
 * writes are done late, messages between instances are lost, instances are killed and their use is asked from
 * witnesses, and totals are raised. Guards against spending beyond a total.
 */
final class PrepaidFleetSearchTest {
    private static final int SCHEDULES = 20_000;
    private static final int STEPS = 150;
    private static final int LONG_SCHEDULES = 4_000;
    private static final int LONG_STEPS = 800;
    private static final int INSTANCES = 6;

    /** Runs out within a schedule. */
    private static final long SMALL_TOTAL = 4_000;

    /** Runs out within a long schedule. */
    private static final long MEDIUM_TOTAL = 30_000;

    /** A few hundred times a request, as on today's deployments. */
    private static final long LARGE_TOTAL = 100_000;

    private static final String WORKSPACE = "plots";

    @Test
    void noScheduleSpendsMoreThanTheTotal() {
        for (int seed = 0; seed < SCHEDULES; seed++) {
            World world = new World(seed, false, SMALL_TOTAL);
            world.run();
            assertThat(world.spent).as("seed %d", seed).isLessThanOrEqualTo(world.total);
            assertThat(world.undercharged).as("seed %d", seed).isEmpty();
        }
    }

    /** Witnesses matter once they have been named and told limits, so these schedules are longer. */
    @Test
    void noLongScheduleSpendsMoreThanTheTotal() {
        for (int seed = 0; seed < LONG_SCHEDULES; seed++) {
            World world = new World(seed, false, MEDIUM_TOTAL);
            world.runLong();
            assertThat(world.spent).as("seed %d", seed).isLessThanOrEqualTo(world.total);
            assertThat(world.undercharged).as("seed %d", seed).isEmpty();
        }
    }

    /** Instances that hold nothing get what a request needs, take it themselves, and change their role meanwhile. */
    @Test
    void noScheduleOfALargeFleetSpendsMoreThanTheTotal() {
        for (int seed = 0; seed < LONG_SCHEDULES; seed++) {
            World world = new World(seed, false, MEDIUM_TOTAL);
            world.rolesChange = true;
            world.runLong();
            assertThat(world.spent).as("seed %d", seed).isLessThanOrEqualTo(world.total);
            assertThat(world.undercharged).as("seed %d", seed).isEmpty();
        }
    }

    @Test
    void theSearchFindsInstancesOfALargeFleetThatCountATakeBeforeItIsConfirmed() {
        boolean found = false;
        for (int seed = 0; seed < LONG_SCHEDULES && !found; seed++) {
            World world = new World(seed, true, SMALL_TOTAL);
            world.rolesChange = true;
            world.runLong();
            found = world.spent > world.total;
        }
        assertThat(found).isTrue();
    }

    @Test
    void theSearchFindsInstancesThatCountATakeBeforeItIsConfirmed() {
        boolean found = false;
        for (int seed = 0; seed < SCHEDULES && !found; seed++) {
            World world = new World(seed, true, SMALL_TOTAL);
            world.run();
            found = world.spent > world.total;
        }
        assertThat(found).isTrue();
    }

    @Test
    void theSearchFindsReadersThatTrustOneWitnessOfMany() {
        boolean found = false;
        for (int seed = 0; seed < LONG_SCHEDULES && !found; seed++) {
            World world = new World(seed, false, MEDIUM_TOTAL);
            world.needsQuorum = false;
            world.runLong();
            found = !world.undercharged.isEmpty();
        }
        assertThat(found).isTrue();
    }

    @Test
    void withoutFailuresNearlyAllOfATotalCanBeSpent() {
        World world = new World(1, false, LARGE_TOTAL);
        world.failures = false;
        world.run();
        for (int i = 0; i < 6_000; i++) {
            world.step();
        }
        assertThat(world.total - world.spent).isLessThan(world.total * 3 / 100);
    }

    /** A ledger object with revisions, and writes that may be applied late. */
    private static final class World {
        private final Random random;
        private final boolean trustsUnconfirmed;
        private final ManualClock clock = ManualClock.atEpochSecond(1_000);
        private final List<Node> nodes = new ArrayList<>();
        private final List<LateWrite> late = new ArrayList<>();
        private PrepaidLedger ledger = PrepaidLedger.empty();
        private long revision = 1;
        private long total;
        private long spent;
        private final Map<String, Long> usedNet = new HashMap<>();
        private final List<String> undercharged = new ArrayList<>();
        private int incarnations;
        private boolean failures = true;
        private boolean needsQuorum = true;
        private boolean rolesChange;
        private final boolean[] holds = new boolean[INSTANCES];

        /** @param leaving the holder that returns all with this write, if one does */
        private record LateWrite(PrepaidLedger next, long condition, Optional<String> leaving) {}

        World(int seed, boolean trustsUnconfirmed, long total) {
            this.total = total;
            this.random = new Random(seed);
            this.trustsUnconfirmed = trustsUnconfirmed;
            Arrays.fill(holds, true);
            for (int i = 0; i < INSTANCES; i++) {
                nodes.add(start(i));
            }
        }

        private Node start(int index) {
            String holder = index + "/" + incarnations++;
            Node node = new Node(index, new PrepaidHoldings(clock, holder, () -> INSTANCES, () -> holds[index]));
            node.configure(total);
            return node;
        }

        void run() {
            for (int i = 0; i < STEPS; i++) {
                step();
            }
        }

        void runLong() {
            for (int i = 0; i < LONG_STEPS; i++) {
                step();
            }
        }

        void step() {
            clock.advance(Duration.ofMillis(random.nextInt(400)));
            if (rolesChange && random.nextInt(20) == 0) {
                holds[random.nextInt(INSTANCES)] ^= true;
            }
            Node node = nodes.get(random.nextInt(INSTANCES));
            int choice = random.nextInt(100);
            if (choice < 45) {
                node.spend(1 + random.nextInt(500));
            } else if (choice < 75) {
                write(node);
            } else if (choice < 85) {
                node.handOver(nodes.get(random.nextInt(INSTANCES)), random.nextInt(4) == 0 && failures);
            } else if (choice < 87 && failures) {
                nodes.set(node.index, start(node.index));
            } else if (choice < 90) {
                applyLate();
            } else if (choice < 93) {
                node.chooseWitnesses();
            } else if (choice < 95 && failures) {
                total += 1_000;
                nodes.forEach(n -> n.configure(total));
            } else if (choice < 98) {
                node.holdings.applyLedger(ledger, revision);
                node.revision = revision;
                node.seen = ledger;
            } else {
                leave(node);
            }
        }

        private void write(Node node) {
            Optional<PrepaidLedger> next = node.holdings.planWrite(node.seen, node.revision, node.ended());
            next.ifPresent(n -> send(node, n, Optional.empty()));
        }

        private void leave(Node node) {
            if (!failures) {
                node.holdings.applyLedger(ledger, revision);
                node.revision = revision;
                node.seen = ledger;
            }
            PrepaidLedger next = node.holdings.planFullReturn(node.seen, node.revision);
            send(node, next, Optional.of(node.holdings.holder()));
            nodes.set(node.index, start(node.index));
        }

        private void send(Node node, PrepaidLedger next, Optional<String> leaving) {
            if (trustsUnconfirmed) {
                node.holdings.applyLedger(next, revision + 1);
            }
            int fate = failures ? random.nextInt(10) : 9;
            if (fate == 0) {
                return;
            }
            if (fate == 1) {
                late.add(new LateWrite(next, node.revision, leaving));
                return;
            }
            boolean applied = apply(next, node.revision, leaving);
            boolean answered = fate != 2;
            if (answered) {
                node.revision = revision;
                node.seen = ledger;
                node.holdings.applyLedger(ledger, revision);
            }
            if (!applied && !answered) {
                node.revision = 0;
            }
        }

        private boolean apply(PrepaidLedger next, long condition, Optional<String> leaving) {
            if (condition != revision) {
                return false;
            }
            Set<String> folded = new HashSet<>(ledger.holders());
            folded.removeAll(next.holders());
            leaving.ifPresent(folded::add);
            long used =
                    folded.stream().mapToLong(h -> usedNet.getOrDefault(h, 0L)).sum();
            long charged =
                    next.takenBy(WORKSPACE, PrepaidLedger.ENDED) - ledger.takenBy(WORKSPACE, PrepaidLedger.ENDED);
            if (charged < used) {
                undercharged.add("charged " + charged + " for " + used + " at revision " + revision + ": " + folded);
            }
            ledger = next;
            revision++;
            return true;
        }

        private void applyLate() {
            if (!late.isEmpty()) {
                LateWrite w = late.remove(random.nextInt(late.size()));
                apply(w.next(), w.condition(), w.leaving());
            }
        }

        /** One incarnation of an instance. */
        private final class Node {
            private final int index;
            private final PrepaidHoldings holdings;
            private final Map<String, Map<String, Long>> kept = new HashMap<>();
            private final Set<String> closed = new HashSet<>();
            private final Map<String, Map<String, Map<String, Long>>> answers = new HashMap<>();
            private PrepaidLedger seen = PrepaidLedger.empty();
            private long revision = 1;

            Node(int index, PrepaidHoldings holdings) {
                this.index = index;
                this.holdings = holdings;
            }

            void configure(long tokens) {
                holdings.updateTotals(
                        List.of(new WorkspaceAccess(WORKSPACE, Set.of(), Optional.empty(), Optional.of(tokens))));
            }

            /** Asks the witnesses of earlier incarnations that are still running; without one, all counts as used. */
            List<EndedHolder> ended() {
                List<EndedHolder> list = new ArrayList<>();
                for (String h : seen.holders()) {
                    if (h.startsWith(index + "/") && !h.equals(holdings.holder())) {
                        list.add(new EndedHolder(h, askWitnesses(h)));
                    }
                }
                return list;
            }

            /** Asks some of the witnesses; what they answered is kept and may be used with a later ledger. */
            private Optional<Map<String, Long>> askWitnesses(String holder) {
                Map<String, Map<String, Long>> known = answers.computeIfAbsent(holder, h -> new HashMap<>());
                for (Node n : nodes) {
                    boolean asked = seen.witnessesOf(holder).contains(n.holdings.holder()) && random.nextInt(3) > 0;
                    if (asked && n.kept.containsKey(holder)) {
                        n.closed.add(holder);
                        known.put(n.holdings.holder(), Map.copyOf(n.kept.get(holder)));
                    }
                }
                if (!needsQuorum) {
                    return known.values().stream().findFirst();
                }
                return EndedHolder.fromAnswers(holder, seen.witnessesOf(holder), known)
                        .flatMap(EndedHolder::limits);
            }

            /** Tells the given instances this one's limits; messages and acknowledgements get lost. */
            void tell(Set<String> witnesses, Map<String, Long> limits) {
                for (Node n : nodes) {
                    boolean arrives = !failures || random.nextInt(6) > 0;
                    if (witnesses.contains(n.holdings.holder()) && arrives && !n.closed.contains(holdings.holder())) {
                        Map<String, Long> all = n.kept.computeIfAbsent(holdings.holder(), h -> new HashMap<>());
                        limits.forEach((w, l) -> all.merge(w, l, Math::max));
                        if (!failures || random.nextInt(6) > 0) {
                            holdings.recordAcknowledgement(n.holdings.holder(), limits);
                        }
                    }
                }
                if (trustsUnconfirmed) {
                    witnesses.forEach(w -> holdings.recordAcknowledgement(w, limits));
                }
            }

            void chooseWitnesses() {
                Set<String> chosen = new HashSet<>();
                int count = random.nextInt(INSTANCES);
                while (chosen.size() < count) {
                    Node n = nodes.get(random.nextInt(INSTANCES));
                    if (n != this) {
                        chosen.add(n.holdings.holder());
                    }
                }
                tell(chosen, holdings.proposedLimits());
                holdings.chooseWitnesses(chosen);
            }

            void spend(long tokens) {
                if (holdings.tryReserve(WORKSPACE, tokens)) {
                    long used = 1 + random.nextLong(tokens);
                    holdings.settle(WORKSPACE, tokens, used);
                    spent += used;
                    usedNet.merge(holdings.holder(), used, Long::sum);
                } else {
                    holdings.startWaiting(WORKSPACE, tokens);
                    if (holdings.needsHigherLimit(WORKSPACE)) {
                        tell(holdings.witnesses(), Map.of(WORKSPACE, holdings.proposedLimit(WORKSPACE, 0)));
                    }
                    if (!holdings.isHolder() && random.nextBoolean()) {
                        holdings.allowDirectTake(WORKSPACE);
                    }
                    write(this);
                    holdings.stopWaiting(WORKSPACE, tokens);
                }
            }

            void handOver(Node other, boolean lost) {
                long wanted = 1 + random.nextInt(300);
                if (!holdings.limitAllows(WORKSPACE, wanted)) {
                    tell(holdings.witnesses(), Map.of(WORKSPACE, holdings.proposedLimit(WORKSPACE, wanted)));
                }
                long given = other.holdings.isHolder()
                        ? holdings.transfer(WORKSPACE, wanted)
                        : holdings.transferForUse(WORKSPACE, wanted);
                usedNet.merge(holdings.holder(), given, Long::sum);
                if (!lost) {
                    other.holdings.receiveTransfer(WORKSPACE, given);
                    usedNet.merge(other.holdings.holder(), -given, Long::sum);
                }
            }
        }
    }
}
