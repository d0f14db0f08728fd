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
 * Runs random schedules in which instances take, spend, transfer and return tokens while responses and messages are
 * lost, writes are applied late, instances are killed, their use is recovered from witnesses, and totals are raised.
 * Guards against spending more than a total.
 */
final class PrepaidFleetSearchTest {
    private static final int SCHEDULES = 20_000;
    private static final int STEPS = 150;
    private static final int LONG_SCHEDULES = 4_000;
    private static final int LONG_STEPS = 800;
    private static final int INSTANCES = 6;

    /** Exhausted within a schedule. */
    private static final long SMALL_TOTAL = 4_000;

    /** Exhausted within a long schedule. */
    private static final long MEDIUM_TOTAL = 30_000;

    /** A few hundred times the size of a request, as in production. */
    private static final long LARGE_TOTAL = 100_000;

    private static final String WORKSPACE = "plots";

    @Test
    void noScheduleSpendsMoreThanTheTotal() {
        for (int seed = 0; seed < SCHEDULES; seed++) {
            Fleet fleet = new Fleet(seed, false, SMALL_TOTAL);
            fleet.run(STEPS);
            fleet.assertTotalKept(seed);
        }
    }

    /**
     * Witnesses take effect only once they are registered and have acknowledged limits, which takes longer schedules.
     */
    @Test
    void noLongScheduleSpendsMoreThanTheTotal() {
        for (int seed = 0; seed < LONG_SCHEDULES; seed++) {
            Fleet fleet = new Fleet(seed, false, MEDIUM_TOTAL);
            fleet.run(LONG_STEPS);
            fleet.assertTotalKept(seed);
        }
    }

    /** Instances that are not holders get tokens by transfer or by a direct take, and roles change in between. */
    @Test
    void noScheduleOfALargeFleetSpendsMoreThanTheTotal() {
        for (int seed = 0; seed < LONG_SCHEDULES; seed++) {
            Fleet fleet = new Fleet(seed, false, MEDIUM_TOTAL);
            fleet.rolesChange = true;
            fleet.run(LONG_STEPS);
            fleet.assertTotalKept(seed);
        }
    }

    /** Holders size their holdings by what is left, and transfer more than a request needs. */
    @Test
    void noScheduleOfALargeFleetWithItsOwnHoldingsSpendsMoreThanTheTotal() {
        for (int seed = 0; seed < LONG_SCHEDULES; seed++) {
            Fleet fleet = new Fleet(seed, false, MEDIUM_TOTAL);
            fleet.rolesChange = true;
            fleet.largeFleet = true;
            fleet.run(LONG_STEPS);
            fleet.assertTotalKept(seed);
        }
    }

    @Test
    void theSearchFindsInstancesOfALargeFleetThatCountATakeBeforeItIsConfirmed() {
        boolean found = false;
        for (int seed = 0; seed < LONG_SCHEDULES && !found; seed++) {
            Fleet fleet = new Fleet(seed, true, SMALL_TOTAL);
            fleet.rolesChange = true;
            fleet.run(LONG_STEPS);
            found = fleet.spent > fleet.total;
        }
        assertThat(found).isTrue();
    }

    @Test
    void theSearchFindsInstancesThatCountATakeBeforeItIsConfirmed() {
        boolean found = false;
        for (int seed = 0; seed < SCHEDULES && !found; seed++) {
            Fleet fleet = new Fleet(seed, true, SMALL_TOTAL);
            fleet.run(STEPS);
            found = fleet.spent > fleet.total;
        }
        assertThat(found).isTrue();
    }

    @Test
    void theSearchFindsReadersThatTrustOneWitnessOfMany() {
        boolean found = false;
        for (int seed = 0; seed < LONG_SCHEDULES && !found; seed++) {
            Fleet fleet = new Fleet(seed, false, MEDIUM_TOTAL);
            fleet.needsQuorum = false;
            fleet.run(LONG_STEPS);
            found = !fleet.undercharged.isEmpty();
        }
        assertThat(found).isTrue();
    }

    @Test
    void withoutFailuresNearlyAllOfATotalCanBeSpent() {
        Fleet fleet = new Fleet(1, false, LARGE_TOTAL);
        fleet.failures = false;
        fleet.run(STEPS);
        for (int i = 0; i < 6_000; i++) {
            fleet.step();
        }
        assertThat(fleet.total - fleet.spent).isLessThan(fleet.total * 3 / 100);
    }

    /** A fleet and its ledger object, with revisions and writes that may be applied late. */
    private static final class Fleet {
        private final Random random;
        private final boolean trustsUnconfirmedWrites;
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
        private boolean largeFleet;
        private final boolean[] holds = new boolean[INSTANCES];

        /** @param leaving the holder that returns all of its tokens with this write, if any */
        private record LateWrite(PrepaidLedger next, long expectedRevision, Optional<String> leaving) {}

        Fleet(int seed, boolean trustsUnconfirmedWrites, long total) {
            this.total = total;
            this.random = new Random(seed);
            this.trustsUnconfirmedWrites = trustsUnconfirmedWrites;
            Arrays.fill(holds, true);
            for (int i = 0; i < INSTANCES; i++) {
                nodes.add(start(i));
            }
        }

        private Node start(int index) {
            String holder = index + "/" + incarnations++;
            Node node = new Node(
                    index, new PrepaidHoldings(clock, holder, () -> INSTANCES, () -> holds[index], () -> largeFleet));
            node.configure(total);
            return node;
        }

        void assertTotalKept(int seed) {
            assertThat(spent).as("seed %d", seed).isLessThanOrEqualTo(total);
            assertThat(undercharged).as("seed %d", seed).isEmpty();
        }

        void run(int steps) {
            for (int i = 0; i < steps; i++) {
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
                node.transferTo(nodes.get(random.nextInt(INSTANCES)), random.nextInt(4) == 0 && failures);
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
                node.read();
            } else {
                leave(node);
            }
        }

        private void write(Node node) {
            Optional<PrepaidLedger> next =
                    node.holdings.planWrite(StoredLedger.atRevision(node.seen, node.revision), node.ended());
            next.ifPresent(n -> send(node, n, Optional.empty()));
        }

        private void leave(Node node) {
            if (!failures) {
                node.read();
            }
            PrepaidLedger next = node.holdings.planFullReturn(StoredLedger.atRevision(node.seen, node.revision));
            send(node, next, Optional.of(node.holdings.holder()));
            nodes.set(node.index, start(node.index));
        }

        private void send(Node node, PrepaidLedger next, Optional<String> leaving) {
            int fate = failures ? random.nextInt(10) : 9;
            if (trustsUnconfirmedWrites && fate <= 2) {
                // Counts the take of a write that gets no answer; it may be lost, late, or seen in the ledger later.
                String holder = node.holdings.holder();
                long taken = next.takenBy(WORKSPACE, holder) - node.seen.takenBy(WORKSPACE, holder);
                node.holdings.receiveTransfer(WORKSPACE, Math.max(0, taken));
            }
            if (fate == 1) {
                late.add(new LateWrite(next, node.revision, leaving));
            }
            if (fate <= 1) {
                return;
            }
            boolean applied = apply(next, node.revision, leaving);
            boolean answered = fate != 2;
            if (answered) {
                node.read();
            }
            if (!applied && !answered) {
                node.revision = 0;
            }
        }

        private boolean apply(PrepaidLedger next, long expectedRevision, Optional<String> leaving) {
            if (expectedRevision != revision) {
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
                apply(w.next(), w.expectedRevision(), w.leaving());
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

            void read() {
                revision = Fleet.this.revision;
                seen = ledger;
                holdings.applyLedger(StoredLedger.atRevision(seen, revision));
            }

            void configure(long tokens) {
                holdings.updateTotals(
                        List.of(new WorkspaceAccess(WORKSPACE, Set.of(), Optional.empty(), Optional.of(tokens))));
            }

            /**
             * Queries the running witnesses of earlier incarnations; without a quorum, all taken tokens count as used.
             */
            List<EndedHolder> ended() {
                List<EndedHolder> list = new ArrayList<>();
                for (String h : seen.holders()) {
                    if (h.startsWith(index + "/") && !h.equals(holdings.holder())) {
                        list.add(new EndedHolder(h, queryWitnesses(h)));
                    }
                }
                return list;
            }

            /** Queries some of the witnesses; their answers are kept and may be combined with a later ledger. */
            private Optional<Map<String, Long>> queryWitnesses(String holder) {
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

            /** Sends this instance's limits to the given instances; messages and acknowledgements may be lost. */
            void sendLimits(Set<String> witnesses, Map<String, Long> limits) {
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
                if (trustsUnconfirmedWrites) {
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
                sendLimits(chosen, holdings.proposedLimits());
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
                        sendLimits(holdings.witnesses(), Map.of(WORKSPACE, holdings.proposedLimit(WORKSPACE, 0)));
                    }
                    if (!holdings.isHolder() && random.nextBoolean()) {
                        holdings.allowDirectTake(WORKSPACE);
                    }
                    write(this);
                    holdings.stopWaiting(WORKSPACE, tokens);
                }
            }

            void transferTo(Node other, boolean lost) {
                long wanted = 1 + random.nextInt(300);
                if (!holdings.limitAllows(WORKSPACE, wanted)) {
                    sendLimits(holdings.witnesses(), Map.of(WORKSPACE, holdings.proposedLimit(WORKSPACE, wanted)));
                }
                long given = other.holdings.isHolder()
                        ? holdings.transfer(WORKSPACE, wanted)
                        : holdings.transferForUse(
                                WORKSPACE, wanted, other.holdings.preferredTransfer(WORKSPACE, wanted));
                usedNet.merge(holdings.holder(), given, Long::sum);
                if (!lost) {
                    other.holdings.receiveTransfer(WORKSPACE, given);
                    usedNet.merge(other.holdings.holder(), -given, Long::sum);
                }
            }
        }
    }
}
