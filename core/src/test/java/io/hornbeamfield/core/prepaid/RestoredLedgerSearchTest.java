package io.hornbeamfield.core.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.route.WorkspaceAccess;
import io.hornbeamfield.core.store.StoreRevision;
import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs random schedules in which the store comes back from older copies while instances take, spend, transfer and
 * return tokens, answers are lost, writes are applied late, also in a later era, instances lose the store for a time,
 * leave, and in part of the schedules are killed. Guards against spending more than a total.
 */
final class RestoredLedgerSearchTest {
    private static final int SCHEDULES = 3_000;
    private static final int STEPS = 1_200;
    private static final int INSTANCES = 4;
    private static final long TOTAL = 8_000;
    private static final int LARGEST_REQUEST = 150;

    /** Changes of the store that a restore loses at most. */
    private static final int OLDEST_COPY = 12;

    private static final long TICK_MS = 250;
    private static final String WORKSPACE = "plots";

    @Test
    void noScheduleWithRestoresSpendsMoreThanTheTotal() {
        assertTotalKept(false);
    }

    @Test
    void noScheduleWithRestoresAndKillsSpendsMoreThanTheTotal() {
        assertTotalKept(true);
    }

    private static void assertTotalKept(boolean kills) {
        for (int seed = 0; seed < SCHEDULES; seed++) {
            Fleet fleet = new Fleet(seed);
            fleet.kills = kills;
            fleet.run();
            assertThat(fleet.gone()).as("seed %d", seed).isLessThanOrEqualTo(TOTAL);
        }
    }

    /** An instance ends and the copy lacks its last take, which no other instance has read. */
    @ParameterizedTest
    @ValueSource(ints = {15_505, 25_402, 28_432})
    void takesThatNobodyElseHasReadAreNotSpentTwice(int seed) {
        Fleet fleet = new Fleet(seed);
        fleet.run();
        assertThat(fleet.gone()).isLessThanOrEqualTo(TOTAL);
    }

    @Test
    void afterTheLastRestoreNearlyAllOfATotalCanBeSpent() {
        long left = 0;
        for (int seed = 0; seed < 100; seed++) {
            Fleet fleet = new Fleet(seed);
            fleet.run();
            fleet.faults = false;
            for (int i = 0; i < 2_000; i++) {
                fleet.step();
            }
            left += TOTAL - fleet.gone();
        }
        assertThat(left).isLessThan(100 * TOTAL * 3 / 100);
    }

    @Test
    void theSearchFindsInstancesThatDoNotNoticeARestore() {
        boolean found = false;
        for (int seed = 0; seed < SCHEDULES && !found; seed++) {
            Fleet fleet = new Fleet(seed);
            fleet.noticesRestores = false;
            fleet.run();
            found = fleet.gone() > TOTAL;
        }
        assertThat(found).isTrue();
    }

    private record Copy(@Nullable PrepaidLedger ledger, long number, long revision) {}

    private record LateWrite(PrepaidLedger next, long expected) {}

    /** A fleet and the store with its ledger. */
    private static final class Fleet {
        private final Random random;
        private final ManualClock clock = ManualClock.atEpochSecond(1_000);
        private final List<Node> nodes = new ArrayList<>();
        private final Deque<Copy> copies = new ArrayDeque<>();
        private final List<LateWrite> late = new ArrayList<>();
        private @Nullable PrepaidLedger ledger;
        private long number;
        private long revision = 1;
        private long era = 1;
        private long spent;
        private long lostInTransfer;
        private int incarnations;
        private long nextTickMs;
        private boolean faults = true;
        private boolean kills;

        private boolean noticesRestores = true;

        Fleet(int seed) {
            random = new Random(seed);
            for (int i = 0; i < INSTANCES; i++) {
                nodes.add(new Node(i));
            }
        }

        /** Returns the tokens that nobody can spend any more: those spent, and those lost in a transfer. */
        long gone() {
            return spent + lostInTransfer;
        }

        void run() {
            for (int i = 0; i < STEPS; i++) {
                step();
            }
        }

        void step() {
            clock.advance(Duration.ofMillis(random.nextInt(100)));
            if (clock.millis() >= nextTickMs) {
                nextTickMs = clock.millis() + TICK_MS;
                nodes.forEach(Node::tick);
            }
            Node node = nodes.get(random.nextInt(INSTANCES));
            int choice = random.nextInt(100);
            if (choice < 60) {
                node.spend(1 + random.nextInt(LARGEST_REQUEST));
            } else if (choice < 75) {
                node.transferTo(nodes.get(random.nextInt(INSTANCES)));
            } else if (choice < 80) {
                node.chooseWitnesses();
            } else if (!faults) {
                node.tick();
            } else if (choice < 83) {
                node.withoutStoreUntilMs = clock.millis() + random.nextInt(1_500);
            } else if (choice < 87) {
                applyLate();
            } else if (choice < 90 && random.nextInt(6) == 0) {
                restore();
            } else if (choice < 92 && random.nextInt(6) == 0) {
                leave(node);
            } else if (choice < 94 && random.nextInt(6) == 0 && kills) {
                end(node);
            }
        }

        private void restore() {
            if (copies.isEmpty()) {
                return;
            }
            int age = random.nextInt(copies.size());
            for (int i = 0; i < age; i++) {
                copies.removeFirst();
            }
            Copy copy = copies.getFirst();
            ledger = copy.ledger();
            number = copy.number();
            revision = copy.revision();
            era++;
        }

        private boolean apply(PrepaidLedger next, long expected) {
            if (expected != number) {
                return false;
            }
            copies.addFirst(new Copy(ledger, number, revision));
            if (copies.size() > OLDEST_COPY) {
                copies.removeLast();
            }
            ledger = next;
            number = ++revision;
            return true;
        }

        private void applyLate() {
            if (!late.isEmpty()) {
                LateWrite w = late.remove(random.nextInt(late.size()));
                apply(w.next(), w.expected());
            }
        }

        private void end(Node node) {
            nodes.set(node.index, new Node(node.index));
        }

        private void leave(Node node) {
            StoredLedger seen = node.seen;
            if (seen != null) {
                PrepaidLedger next = node.holdings.planFullReturn(seen);
                boolean returned = node.reaches()
                        && node.knownEra == era
                        && apply(next, seen.revision().number());
                // A return that does not arrive leaves the holder in the ledger, as a kill does.
                if (returned || kills) {
                    end(node);
                } else {
                    node.seen = null;
                }
            }
        }

        /** One incarnation of an instance. */
        private final class Node implements LedgerPeers {
            private final int index;
            private final PrepaidHoldings holdings;
            private final Map<String, Map<String, Long>> witnessed = new HashMap<>();
            private @Nullable StoredLedger seen;
            private long knownEra;
            private long generation;
            private long withoutStoreUntilMs;

            Node(int index) {
                this.index = index;
                holdings = new PrepaidHoldings(clock, index + "/" + incarnations++, () -> INSTANCES);
                holdings.usePeers(this);
                holdings.updateTotals(
                        List.of(new WorkspaceAccess(WORKSPACE, Set.of(), Optional.empty(), Optional.of(TOTAL))));
            }

            @Override
            public Set<String> linkedHolders() {
                return nodes.stream()
                        .filter(n -> n != this)
                        .map(n -> n.holdings.holder())
                        .collect(Collectors.toSet());
            }

            @Override
            public Map<String, Long> witnessedLimits(String holder) {
                return witnessed.getOrDefault(holder, Map.of());
            }

            boolean reaches() {
                return clock.millis() >= withoutStoreUntilMs || !faults;
            }

            void tick() {
                if (!reaches()) {
                    return;
                }
                if (seen == null || knownEra != era || !holdings.isLedgerSettled() || random.nextInt(4) == 0) {
                    read();
                }
                if (seen == null) {
                    create();
                }
                if (holdings.needsWrite()) {
                    write();
                }
            }

            private void noticeEra() {
                if (knownEra != era) {
                    knownEra = era;
                    generation++;
                }
            }

            private void read() {
                noticeEra();
                seen = ledger == null ? null : stored(ledger);
                if (seen != null) {
                    holdings.applyLedger(seen);
                }
            }

            private StoredLedger stored(PrepaidLedger l) {
                return noticesRestores
                        ? new StoredLedger(l, new StoreRevision(generation, number), era)
                        : new StoredLedger(l, new StoreRevision(0, number), 0);
            }

            private void create() {
                PrepaidLedger next = holdings.planCreation(noticesRestores ? era : 0);
                if (ledger == null && random.nextInt(5) > 0) {
                    apply(next, number);
                    read();
                }
            }

            private void write() {
                StoredLedger base = seen;
                if (base == null) {
                    return;
                }
                holdings.planWrite(base, ended(base.ledger())).ifPresent(next -> send(base, next));
            }

            private void send(StoredLedger base, PrepaidLedger next) {
                seen = null;
                int fate = faults ? random.nextInt(10) : 9;
                boolean mayBeSent = reaches() && generation == base.revision().generation();
                if (fate == 0 || (noticesRestores && !mayBeSent)) {
                    return;
                }
                if (fate == 1) {
                    late.add(new LateWrite(next, base.revision().number()));
                    return;
                }
                boolean knew = knownEra == era;
                boolean applied = apply(next, base.revision().number());
                noticeEra();
                if (fate != 2 && applied && knew) {
                    seen = stored(next);
                    holdings.applyLedger(seen);
                }
            }

            private List<EndedHolder> ended(PrepaidLedger l) {
                return l.holders().stream()
                        .filter(h -> h.startsWith(index + "/") && !h.equals(holdings.holder()))
                        .flatMap(h -> {
                            Map<String, Map<String, Long>> answers = new HashMap<>();
                            nodes.stream()
                                    .filter(n -> n.witnessed.containsKey(h))
                                    .forEach(n -> answers.put(n.holdings.holder(), n.witnessed.get(h)));
                            return EndedHolder.fromAnswers(h, l.witnessesOf(h), answers).stream();
                        })
                        .toList();
            }

            void sendLimits(Set<String> witnesses, Map<String, Long> limits) {
                for (Node n : nodes) {
                    if (witnesses.contains(n.holdings.holder()) && (!faults || random.nextInt(6) > 0)) {
                        Map<String, Long> all = n.witnessed.computeIfAbsent(holdings.holder(), h -> new HashMap<>());
                        limits.forEach((w, l) -> all.merge(w, l, Math::max));
                        holdings.recordAcknowledgement(n.holdings.holder(), limits);
                    }
                }
            }

            void chooseWitnesses() {
                Set<String> chosen = linkedHolders();
                sendLimits(chosen, holdings.proposedLimits());
                holdings.chooseWitnesses(chosen);
            }

            void spend(long tokens) {
                if (holdings.tryReserve(WORKSPACE, tokens)) {
                    long used = 1 + random.nextLong(tokens);
                    holdings.settle(WORKSPACE, tokens, used);
                    spent += used;
                    return;
                }
                holdings.startWaiting(WORKSPACE, tokens);
                if (holdings.needsHigherLimit(WORKSPACE)) {
                    sendLimits(holdings.witnesses(), Map.of(WORKSPACE, holdings.proposedLimit(WORKSPACE, 0)));
                }
                if (seen != null && reaches() && holdings.needsWrite()) {
                    write();
                }
                holdings.stopWaiting(WORKSPACE, tokens);
            }

            void transferTo(Node other) {
                long wanted = 1 + random.nextInt(300);
                if (!holdings.limitAllows(WORKSPACE, wanted)) {
                    sendLimits(holdings.witnesses(), Map.of(WORKSPACE, holdings.proposedLimit(WORKSPACE, wanted)));
                }
                long given = holdings.transfer(WORKSPACE, wanted);
                if (!faults || random.nextInt(5) > 0) {
                    other.holdings.receiveTransfer(WORKSPACE, given);
                } else {
                    lostInTransfer += given;
                }
            }
        }
    }
}
