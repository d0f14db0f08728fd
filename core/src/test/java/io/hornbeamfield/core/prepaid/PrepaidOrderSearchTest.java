package io.hornbeamfield.core.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.route.WorkspaceAccess;
import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Replays the start of an instance in all orders of what it learns and does. Guards against tokens that are taken from
 * a total before the instance knows what others have taken of it: after a restart, or when a workspace, its total or
 * the instance's role changes.
 */
final class PrepaidOrderSearchTest {
    private static final int EXHAUSTIVE_LENGTH = 5;
    private static final int LONG_SCHEDULES = 20_000;
    private static final int LONG_LENGTH = 40;
    private static final long TOTAL = 10_000;
    private static final long RAISE = 2_000;
    private static final long REQUEST = 400;

    /** What can happen next at the instance or around it. */
    private enum Event {
        /** The instance adopts the newest configuration. */
        CONFIGURATION,
        /** The instance reads the ledger. */
        LEDGER,
        /** The directory changes the instance's role between holder and caller of holders. */
        DIRECTORY,
        /** The instance learns something that says nothing about its totals. */
        OTHER_OBJECT,
        /** A request waits, the instance writes, and its answer arrives. */
        WRITE,
        /** As a write, but the answer is lost after the store has applied it. */
        LOST_ANSWER,
        /** As a write, but the store applies it only later, if its condition still holds then. */
        LATE_WRITE,
        /** The store applies the late write. */
        APPLY_LATE,
        /** A request spends tokens that the instance holds. */
        SPEND,
        /** Another instance takes tokens of all workspaces in the newest configuration. */
        OTHERS_TAKE,
        /** The operator adds or removes the second workspace. */
        TOGGLE_WORKSPACE,
        /** The operator raises the total of the first workspace. */
        RAISE_TOTAL,
        /** The instance is killed and starts again. */
        RESTART
    }

    @Test
    void noOrderOfFiveEventsTakesMoreThanATotal() {
        Event[] all = Event.values();
        int[] order = new int[EXHAUSTIVE_LENGTH];
        long orders = (long) Math.pow(all.length, EXHAUSTIVE_LENGTH);
        for (long n = 0; n < orders; n++) {
            long rest = n;
            List<Event> events = new ArrayList<>();
            for (int i = 0; i < order.length; i++) {
                events.add(all[(int) (rest % all.length)]);
                rest /= all.length;
            }
            check(events, true);
            check(events, false);
        }
    }

    @Test
    void noLongOrderOfEventsTakesMoreThanATotal() {
        for (int seed = 0; seed < LONG_SCHEDULES; seed++) {
            check(randomOrder(seed), seed % 2 == 0);
        }
    }

    /** Guards against an instance that never takes tokens because it never knows enough. */
    @Test
    void afterAnyOrderAnInstanceTakesWhatIsLeft() {
        for (int seed = 0; seed < LONG_SCHEDULES; seed++) {
            Store store = new Store(false);
            Instance instance = new Instance(store);
            randomOrder(seed).forEach(instance::apply);
            instance.drain();
            assertThat(store.untaken("plots")).as("seed %d", seed).isLessThan(REQUEST);
        }
    }

    private static List<Event> randomOrder(int seed) {
        Random random = new Random(seed);
        List<Event> events = new ArrayList<>();
        for (int i = 0; i < LONG_LENGTH; i++) {
            events.add(Event.values()[random.nextInt(Event.values().length)]);
        }
        return events;
    }

    private static void check(List<Event> events, boolean usedUp) {
        Store store = new Store(usedUp);
        Instance instance = new Instance(store);
        events.forEach(instance::apply);
        instance.drain();
        for (String workspace : store.highestTotals.keySet()) {
            long total = store.highestTotals.get(workspace);
            assertThat(store.ledger.totalTaken(workspace))
                    .as("taken of %s after %s", workspace, events)
                    .isLessThanOrEqualTo(total);
            assertThat(instance.spent.getOrDefault(workspace, 0L) + store.takenByOthers(workspace))
                    .as("spent of %s after %s", workspace, events)
                    .isLessThanOrEqualTo(total);
        }
    }

    /** The newest configuration and the ledger, and the instances around the one that is tested. */
    private static final class Store {
        private static final String OTHERS = "b/1";

        private final Map<String, Long> totals = new TreeMap<>(Map.of("plots", TOTAL));
        private final Map<String, Long> highestTotals = new TreeMap<>(Map.of("plots", TOTAL, "fees", TOTAL));
        private PrepaidLedger ledger = PrepaidLedger.empty();
        private long revision = 10;

        Store(boolean usedUp) {
            long taken = usedUp ? TOTAL : TOTAL / 2;
            ledger = ledger.with("plots", OTHERS, taken).with("fees", OTHERS, taken);
        }

        List<WorkspaceAccess> workspaces() {
            return totals.entrySet().stream()
                    .map(e -> new WorkspaceAccess(e.getKey(), Set.of(), Optional.empty(), Optional.of(e.getValue())))
                    .toList();
        }

        boolean replace(PrepaidLedger next, long expectedRevision) {
            if (expectedRevision != revision) {
                return false;
            }
            ledger = next;
            revision++;
            return true;
        }

        long untaken(String workspace) {
            return highestTotals.get(workspace) - ledger.totalTaken(workspace);
        }

        long takenByOthers(String workspace) {
            return ledger.takenBy(workspace, OTHERS);
        }

        void othersTake() {
            for (String workspace : totals.keySet()) {
                long taken = Math.max(0, Math.min(3 * REQUEST, untaken(workspace)));
                replace(ledger.with(workspace, OTHERS, takenByOthers(workspace) + taken), revision);
            }
        }

        void toggleWorkspace() {
            if (totals.remove("fees") == null) {
                totals.put("fees", TOTAL);
            }
        }

        void raiseTotal() {
            totals.merge("plots", RAISE, Long::sum);
            highestTotals.put("plots", totals.get("plots"));
        }
    }

    /** The incarnations of one instance, with the knowledge that its process has. */
    private static final class Instance {
        private final Store store;
        private final ManualClock clock = ManualClock.atEpochSecond(1_000);
        private final Map<String, Long> spent = new TreeMap<>();
        private int incarnations;
        private boolean holds;
        private PrepaidHoldings holdings;
        private Optional<PrepaidLedger> observed = Optional.empty();
        private long observedRevision;
        private List<WorkspaceAccess> configured = List.of();
        private Optional<PrepaidLedger> lateWrite = Optional.empty();
        private long lateRevision;

        Instance(Store store) {
            this.store = store;
            this.holdings = start();
        }

        private PrepaidHoldings start() {
            String holder = "a/" + ++incarnations;
            holds = true;
            observed = Optional.empty();
            configured = List.of();
            return new PrepaidHoldings(clock, holder, () -> 2, () -> holds);
        }

        void apply(Event event) {
            clock.advance(Duration.ofMillis(1_100));
            switch (event) {
                case CONFIGURATION -> configure();
                case LEDGER -> read();
                case DIRECTORY -> holds = !holds;
                case OTHER_OBJECT -> learnNothing();
                case WRITE, LOST_ANSWER, LATE_WRITE -> configured.forEach(w -> write(w.name(), event));
                case APPLY_LATE -> applyLate();
                case SPEND -> configured.forEach(w -> spend(w.name()));
                case OTHERS_TAKE -> store.othersTake();
                case TOGGLE_WORKSPACE -> store.toggleWorkspace();
                case RAISE_TOTAL -> store.raiseTotal();
                case RESTART -> holdings = start();
                default -> throw new IllegalStateException("Unexpected event " + event + ".");
            }
        }

        private void configure() {
            configured = store.workspaces();
            holdings.updateTotals(configured);
        }

        private void read() {
            observe(store.ledger, store.revision);
        }

        private void observe(PrepaidLedger ledger, long revision) {
            observed = Optional.of(ledger);
            observedRevision = revision;
            holdings.applyLedger(StoredLedger.atRevision(ledger, revision));
        }

        /** A witness answers, a lost message of another instance arrives, and the routine check of writes runs. */
        private void learnNothing() {
            holdings.recordAcknowledgement("b/1", Map.of("plots", TOTAL));
            holdings.receiveTransfer("plots", 0);
            holdings.needsWrite();
        }

        private void write(String workspace, Event event) {
            holdings.startWaiting(workspace, REQUEST);
            holdings.allowDirectTake(workspace);
            observed.flatMap(base -> holdings.planWrite(StoredLedger.atRevision(base, observedRevision), List.of()))
                    .ifPresent(next -> send(next, event));
            holdings.stopWaiting(workspace, REQUEST);
        }

        private void send(PrepaidLedger next, Event event) {
            if (event == Event.LATE_WRITE) {
                lateWrite = Optional.of(next);
                lateRevision = observedRevision;
                observed = Optional.empty();
                return;
            }
            store.replace(next, observedRevision);
            if (event == Event.LOST_ANSWER) {
                observed = Optional.empty();
            } else {
                read();
            }
        }

        private void applyLate() {
            lateWrite.ifPresent(next -> store.replace(next, lateRevision));
            lateWrite = Optional.empty();
        }

        private void spend(String workspace) {
            while (holdings.tryReserve(workspace, REQUEST)) {
                holdings.settle(workspace, REQUEST, REQUEST);
                spent.merge(workspace, REQUEST, Long::sum);
            }
        }

        /** Takes and spends all that the instance can get, with all that it knew at first. */
        void drain() {
            if (!configured.isEmpty()) {
                spendAll();
            }
            configure();
            read();
            holds = true;
            spendAll();
        }

        private void spendAll() {
            String before = "";
            while (!before.equals(store.revision + " " + spent)) {
                before = store.revision + " " + spent;
                clock.advance(Duration.ofMillis(1_100));
                configured.forEach(w -> {
                    write(w.name(), Event.WRITE);
                    spend(w.name());
                });
            }
        }
    }
}
