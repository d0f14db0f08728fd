package io.hornbeamfield.core.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.route.WorkspaceAccess;
import io.hornbeamfield.core.store.StoreRevision;
import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against tokens that are taken again after the store has lost who had taken them. */
final class RestoredLedgerTest {
    private static final String WORKSPACE = "plots";
    private static final long TOTAL = 10_000;

    private final ManualClock clock = ManualClock.atEpochSecond(1_000);
    private final Known known = new Known();
    private final PrepaidHoldings holdings = holdings("a/1");

    /** What the instance knows of others. */
    private static final class Known implements LedgerPeers {
        private final Set<String> linked = new HashSet<>();
        private final Map<String, Map<String, Long>> limits = new HashMap<>();

        @Override
        public Set<String> linkedHolders() {
            return linked;
        }

        @Override
        public Map<String, Long> witnessedLimits(String holder) {
            return limits.getOrDefault(holder, Map.of());
        }
    }

    private PrepaidHoldings holdings(String holder) {
        PrepaidHoldings h = new PrepaidHoldings(clock, holder, () -> 2);
        h.usePeers(known);
        h.updateTotals(List.of(new WorkspaceAccess(WORKSPACE, Set.of(), Optional.empty(), Optional.of(TOTAL))));
        return h;
    }

    private static StoredLedger stored(PrepaidLedger ledger, long number, long era) {
        return new StoredLedger(ledger, new StoreRevision(era, number), era);
    }

    private static PrepaidLedger ledger(long era) {
        return PrepaidLedger.empty().ofEra(era);
    }

    private PrepaidLedger write(StoredLedger base) {
        return holdings.planWrite(base, List.of()).orElseThrow();
    }

    /** Takes tokens in era 1, and returns the ledger that shows it. */
    private PrepaidLedger take() {
        PrepaidLedger taken = write(stored(ledger(1), 1, 1));
        holdings.applyLedger(stored(taken, 2, 1));
        assertThat(taken.takenBy(WORKSPACE, "a/1")).isPositive();
        return taken;
    }

    @Test
    void aHolderDeclaresWhatTheCopyLacksAndKeepsSpendingIt() {
        PrepaidLedger taken = take();
        holdings.applyLedger(stored(ledger(1), 1, 2));
        assertThat(holdings.needsWrite()).isTrue();
        assertThat(holdings.tryReserve(WORKSPACE, 10)).isTrue();
        PrepaidLedger declared = write(stored(ledger(1), 1, 2));
        assertThat(declared.taken()).isEqualTo(taken.taken());
        assertThat(declared.era()).isEqualTo(2);
        assertThat(declared.isComplete()).isTrue();
    }

    @Test
    void nothingIsTakenUntilTheOtherHoldersHaveDeclared() {
        PrepaidLedger copy = ledger(1).with(WORKSPACE, "b/1", 500);
        PrepaidLedger declared = write(stored(copy, 5, 2));
        assertThat(declared.undeclared()).containsExactly("b/1");
        holdings.applyLedger(stored(declared, 6, 2));
        holdings.startWaiting(WORKSPACE, 100);
        assertThat(holdings.needsWrite()).isFalse();
        assertThat(holdings.planWrite(stored(declared, 6, 2), List.of())).isEmpty();
        // A total that is not known to be used up must not be reported as such.
        assertThat(holdings.coversSmallestWaiting(WORKSPACE)).isTrue();
        PrepaidLedger complete = declared.with(WORKSPACE, "b/1", 900).restored(declared.basisOrNone(), Set.of(), false);
        holdings.applyLedger(stored(complete, 7, 2));
        assertThat(write(stored(complete, 7, 2)).takenBy(WORKSPACE, "a/1")).isGreaterThanOrEqualTo(100);
    }

    @Test
    void aHolderThatDoesNotDeclareIsChargedItsWitnessedLimitAndASetAsidePart() {
        known.limits.put("b/1", Map.of(WORKSPACE, 2_000L));
        PrepaidLedger copy = ledger(1).with(WORKSPACE, "b/1", 500);
        PrepaidLedger declared = write(stored(copy, 5, 2));
        assertThat(declared.takenBy(WORKSPACE, "b/1")).isEqualTo(2_000);
        holdings.applyLedger(stored(declared, 6, 2));
        clock.advance(Duration.ofMillis(LedgerDeclarations.DECLARATION_MS));
        PrepaidLedger closed = write(stored(declared, 6, 2));
        assertThat(closed.closed()).isTrue();
        assertThat(closed.takenBy(WORKSPACE, "b/1")).isBetween(2_001L, TOTAL / 2);
        holdings.applyLedger(stored(closed, 7, 2));
        assertThat(holdings.isLedgerSettled()).isTrue();
    }

    /** Guards against a set-aside part that its holder spends in addition to what it has taken. */
    @Test
    void aHolderThatWasSetAsideDeclaresExactlyWhatItHasTaken() {
        PrepaidLedger taken = take();
        long own = taken.takenBy(WORKSPACE, "a/1");
        PrepaidLedger closed = ledger(2)
                .with(WORKSPACE, "a/1", own + 700)
                .restored(new PrepaidLedger.Version(1, 2), Set.of("a/1"), true);
        holdings.applyLedger(stored(closed, 9, 2));
        assertThat(holdings.tryReserve(WORKSPACE, own + 1)).isFalse();
        PrepaidLedger declared = write(stored(closed, 9, 2));
        assertThat(declared.takenBy(WORKSPACE, "a/1")).isEqualTo(own);
        assertThat(declared.undeclared()).isEmpty();
    }

    /** Guards against holders that ended in the lost seconds and whose use the copy does not show. */
    @Test
    void whatANewerLedgerShowedOfEndedHoldersIsKept() {
        take();
        PrepaidLedger newest = ledger(1).with(WORKSPACE, "a/1", 100).with(WORKSPACE, PrepaidLedger.ENDED, 4_000);
        holdings.applyLedger(stored(newest, 8, 1));
        PrepaidLedger copy = ledger(1).with(WORKSPACE, "b/1", 3_900);
        PrepaidLedger declared = write(stored(copy, 3, 2));
        assertThat(declared.takenBy(WORKSPACE, PrepaidLedger.ENDED)).isEqualTo(4_000);
        assertThat(declared.takenBy(WORKSPACE, "b/1")).isZero();
        assertThat(declared.basis()).isEqualTo(new PrepaidLedger.Version(1, 8));
    }

    /** Guards against a return whose answer was lost and that is declared as not made. */
    @Test
    void aReturnOfUnknownOutcomeCountsAsMadeInADeclaration() {
        PrepaidLedger taken = take();
        holdings.planFullReturn(stored(taken, 2, 1));
        PrepaidLedger declared = write(stored(taken, 2, 2));
        assertThat(declared.takenBy(WORKSPACE, "a/1")).isZero();
    }

    @Test
    void aWriteOfAnEarlierEraThatArrivesLateIsNotTakenForTheLedgerOfThisOne() {
        PrepaidLedger taken = take();
        StoredLedger late = new StoredLedger(ledger(0).ofEra(7), new StoreRevision(1, 3), 1);
        holdings.applyLedger(late);
        assertThat(holdings.isLedgerSettled()).isFalse();
        assertThat(write(late).taken()).isEqualTo(taken.taken());
    }

    /** Ledgers of earlier versions of this software name no era. */
    @Test
    void aLedgerWithoutAnEraIsUsedAndThenNamesIt() {
        PrepaidLedger old = PrepaidLedger.empty().with(WORKSPACE, "b/1", 500);
        PrepaidLedger next = write(stored(old, 1, 3));
        assertThat(next.takenBy(WORKSPACE, "a/1")).isPositive();
        assertThat(next.era()).isEqualTo(3);
    }

    @Test
    void aHolderThatStopsWhileOthersDeclareLeavesItsUseBehind() {
        PrepaidLedger taken = take();
        assertThat(holdings.tryReserve(WORKSPACE, 30)).isTrue();
        holdings.settle(WORKSPACE, 30, 30);
        known.linked.add("b/1");
        PrepaidLedger left = holdings.planFullReturn(stored(ledger(1), 1, 2));
        assertThat(taken.takenBy(WORKSPACE, "a/1")).isGreaterThan(30);
        assertThat(left.takenBy(WORKSPACE, PrepaidLedger.ENDED)).isEqualTo(30);
        assertThat(left.undeclared()).containsExactly("b/1");
    }

    /** Guards against an instance that starts before those that held tokens have noticed that the ledger is gone. */
    @Test
    void aLedgerThatIsCreatedAfterARestoreIsNotUsedAtOnce() {
        assertThat(holdings.planCreation(1).isComplete()).isTrue();
        PrepaidLedger created = holdings.planCreation(2);
        holdings.applyLedger(stored(created, 1, 2));
        assertThat(holdings.isLedgerSettled()).isFalse();
        clock.advance(Duration.ofMillis(LedgerDeclarations.DECLARATION_MS));
        PrepaidLedger closed = write(stored(created, 1, 2));
        assertThat(closed.isComplete()).isTrue();
        assertThat(closed.totalTaken(WORKSPACE)).isZero();
    }

    /** An earlier incarnation had ended before the copy was made if the copy names its successor. */
    @Test
    void anEarlierIncarnationOfARunningHolderNeedNotDeclare() {
        known.linked.add("b/2");
        PrepaidLedger copy = ledger(1).with(WORKSPACE, "b/1", 500).with(WORKSPACE, "b/2", 500);
        assertThat(write(stored(copy, 5, 2)).undeclared()).containsExactly("b/2");
    }
}
