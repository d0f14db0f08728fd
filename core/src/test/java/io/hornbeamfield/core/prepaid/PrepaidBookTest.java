package io.hornbeamfield.core.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.route.WorkspaceAccess;
import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against holdings that are too small for an outage, that move to and fro, or that strand a total. */
final class PrepaidBookTest {
    private static final int INSTANCES = 8;

    private final ManualClock clock = ManualClock.atEpochSecond(1_000);
    private final PrepaidBook book = new PrepaidBook(clock, "a/1", () -> INSTANCES);
    private PrepaidLedger ledger = PrepaidLedger.empty();
    private long revision = 1;

    private void total(long tokens) {
        book.totals(List.of(new WorkspaceAccess("plots", Set.of("k"), Optional.empty(), Optional.of(tokens))));
    }

    private boolean write() {
        Optional<PrepaidLedger> next = book.plan(ledger, revision, List.of());
        next.ifPresent(n -> {
            ledger = n;
            revision++;
            book.observed(ledger, revision);
        });
        return next.isPresent();
    }

    @Test
    void nothingIsSpentBeforeTheStoreHasConfirmedTheTake() {
        total(1_000_000);
        assertThat(book.tryReserve("plots", 100)).isFalse();
        assertThat(book.plan(ledger, revision, List.of())).isPresent();
        assertThat(book.tryReserve("plots", 100)).isFalse();
    }

    /** Load pattern: a steady workspace, then the store is cut off for nine seconds. */
    @Test
    void aSteadyWorkspaceIsServedThroughAnOutageOfNineSeconds() {
        total(3_000_000);
        book.observed(ledger, revision);
        for (int i = 0; i < 40; i++) {
            clock.advance(Duration.ofMillis(250));
            write();
            assertThat(book.tryReserve("plots", 1_000)).isTrue();
            book.settle("plots", 1_000, 1_000);
        }
        write();
        int refused = 0;
        for (int i = 0; i < 36; i++) {
            clock.advance(Duration.ofMillis(250));
            if (book.tryReserve("plots", 1_000)) {
                book.settle("plots", 1_000, 1_000);
            } else {
                refused++;
            }
        }
        assertThat(refused).isZero();
    }

    /** Failure seen on quiet-1: 1,286 writes in 60 s, because taking and giving back had different limits. */
    @Test
    void nearTheEndOfATotalAnIdleInstanceDoesNotWriteAgainAndAgain() {
        total(100_000);
        ledger = ledger.with("plots", "b/1", 93_000);
        book.observed(ledger, revision);
        book.startWaiting("plots", 2_000);
        write();
        book.stopWaiting("plots", 2_000);
        assertThat(book.tryReserve("plots", 2_000)).isTrue();
        book.settle("plots", 2_000, 500);
        int writes = 0;
        for (int i = 0; i < 100; i++) {
            clock.advance(Duration.ofMillis(200));
            writes += write() ? 1 : 0;
        }
        assertThat(writes).isLessThanOrEqualTo(2);
    }

    /** Failure seen on scale-2: a take made the total look scarce, and giving it back made it look plentiful. */
    @Test
    void aTakeThatCrossesALimitOfThePolicyIsNotGivenBack() {
        for (long taken = 600_000; taken < 900_000; taken += 10_000) {
            PrepaidBookTest one = new PrepaidBookTest();
            one.total(1_000_000);
            one.ledger = one.ledger.with("plots", "b/1", taken);
            one.book.observed(one.ledger, one.revision);
            for (int i = 0; i < 10; i++) {
                one.clock.advance(Duration.ofMillis(500));
                one.book.startWaiting("plots", 4_000);
                one.write();
                one.book.stopWaiting("plots", 4_000);
                one.book.tryReserve("plots", 4_000);
                one.book.settle("plots", 4_000, 3_500);
            }
            int writes = 0;
            for (int i = 0; i < 50; i++) {
                one.clock.advance(Duration.ofMillis(20));
                writes += one.book.needsWrite() && one.write() ? 1 : 0;
            }
            assertThat(writes).as("taken %d", taken).isLessThanOrEqualTo(2);
        }
    }

    @Test
    void theLastTokensOfATotalGoToARequestThatTheyCover() {
        total(100_000);
        ledger = ledger.with("plots", "b/1", 99_000);
        book.observed(ledger, revision);
        book.startWaiting("plots", 1_000);
        write();
        assertThat(book.tryReserve("plots", 1_000)).isTrue();
    }

    @Test
    void whatAnEndedIncarnationTookStaysTaken() {
        total(100_000);
        ledger = ledger.with("plots", "a/0", 60_000);
        book.observed(ledger, revision);
        book.startWaiting("plots", 50_000);
        assertThat(book.plan(ledger, revision, List.of(new EndedHolder("a/0", Optional.empty()))))
                .hasValueSatisfying(l -> assertThat(l.totalTaken("plots")).isEqualTo(60_000));
        assertThat(ledger.fold(List.of(new EndedHolder("a/0", Optional.empty())))
                        .totalTaken("plots"))
                .isEqualTo(60_000);
    }

    /** Failure seen on lampka scale-2: a request waited in vain after a smaller one had been served. */
    @Test
    void whatIsMissingIsThatOfTheRequestsThatStillWait() {
        total(100_000);
        book.startWaiting("plots", 100);
        book.startWaiting("plots", 50_000);
        write();
        book.stopWaiting("plots", 100);
        book.stopWaiting("plots", 50_000);
        book.startWaiting("plots", 99_000);
        assertThat(book.missing("plots")).isEqualTo(99_000 - book.freeTokens().get("plots"));
        book.startWaiting("plots", 10);
        assertThat(book.missing("plots")).isZero();
        book.stopWaiting("plots", 10);
        assertThat(book.missing("plots")).isPositive();
    }

    /** Failure seen on lampka scale-2: one killed instance stranded 5% of a total, and 794 requests got 402. */
    @Test
    void whatAnEndedIncarnationDidNotUseIsFreeAgainWhenAWitnessKnowsItsLimit() {
        total(100_000);
        ledger = ledger.with("plots", "a/0", 60_000).withWitnesses("a/0", Set.of("b/1"));
        book.observed(ledger, revision);
        book.startWaiting("plots", 50_000);
        EndedHolder ended = new EndedHolder("a/0", Optional.of(Map.of("plots", 10_000L)));
        ledger = book.plan(ledger, revision, List.of(ended)).orElseThrow();
        assertThat(ledger.takenBy("plots", PrepaidLedger.ENDED)).isEqualTo(10_000);
        assertThat(ledger.witnessesOf("a/0")).isEmpty();
    }

    @Test
    void nothingIsUsedBeyondTheLimitThatAllWitnessesKnow() {
        total(1_000_000);
        write();
        book.acknowledged("b/1", Map.of("plots", 500L));
        book.acknowledged("c/1", Map.of("plots", 300L));
        book.chooseWitnesses(Set.of("b/1", "c/1"));
        assertThat(write()).isTrue();
        assertThat(book.tryReserve("plots", 300)).isTrue();
        assertThat(book.tryReserve("plots", 1)).isFalse();
        book.startWaiting("plots", 100);
        assertThat(book.limitShort("plots")).isTrue();
        book.acknowledged("c/1", Map.of("plots", 400L));
        assertThat(book.tryReserve("plots", 100)).isTrue();
    }

    /**
     * Failure found by the search, seed 10510: a witness kept the limit -218 of an instance that had received 218
     * tokens, its acknowledgement was lost, and the instance counted it as 0 and used 158 of them.
     */
    @Test
    void anInstanceThatReceivedMoreThanItUsedHasNoNegativeLimit() {
        total(1_000_000);
        // 218 more than the limit is ahead of the use.
        book.receive("plots", 2_218);
        assertThat(book.wantedLimit("plots", 0)).isZero();
    }

    /** Load pattern seen on the grown site: 70,000 tokens of requests wait at one instance that holds nothing. */
    @Test
    void whatABurstNeedsIsKnownTogether() {
        total(1_000_000);
        assertThat(book.missingForAll("plots")).isZero();
        book.receive("plots", 500);
        for (int i = 0; i < 20; i++) {
            book.startWaiting("plots", 3_000);
        }
        assertThat(book.missing("plots")).isEqualTo(2_500);
        assertThat(book.missingForAll("plots")).isEqualTo(59_500);
    }

    /**
     * Load pattern seen on the grown site in an outage of the store: parts that cover no request are spread over many
     * instances, and what is left at the writers covers none either.
     */
    @Test
    void anInstanceThatHoldsNothingGetsAllThatARequestNeedsOrNothing() {
        total(1_000_000);
        ledger = ledger.with("plots", "a/1", 5_000);
        book.observed(ledger, revision);
        assertThat(book.giveForUse("plots", 6_000)).isZero();
        assertThat(book.giveForUse("plots", 4_000)).isEqualTo(4_000);
        assertThat(book.giveForUse("plots", 4_000)).isZero();
        assertThat(book.giveForUse("plots", 1_000)).isEqualTo(1_000);
    }

    /**
     * Load pattern seen on the grown site: 86 instances get one request of a workspace in some seconds each. A limit
     * that follows such a small demand makes each request wait for the witnesses.
     */
    @Test
    void aWorkspaceWithFewRequestsDoesNotWaitForItsWitnessesWithEachOfThem() {
        PrepaidBook large = new PrepaidBook(clock, "a/1", () -> 86);
        large.totals(List.of(new WorkspaceAccess("plots", Set.of("k"), Optional.empty(), Optional.of(4_000_000L))));
        large.observed(ledger.with("plots", "a/1", 9_000), 1);
        large.acknowledged("b/1", large.wantedLimits());
        large.chooseWitnesses(Set.of("b/1"));
        ledger = large.plan(ledger.with("plots", "a/1", 9_000), 1, List.of()).orElseThrow();
        large.observed(ledger, 2);
        for (int i = 0; i < 8; i++) {
            clock.advance(Duration.ofSeconds(3));
            assertThat(large.tryReserve("plots", 900)).as("request %d", i).isTrue();
            large.settle("plots", 900, 900);
        }
    }

    @Test
    void witnessesThatDoNotKnowThePresentUseAreNotNamed() {
        total(1_000_000);
        write();
        book.acknowledged("b/1", Map.of("plots", 500L));
        assertThat(book.tryReserve("plots", 600)).isTrue();
        book.chooseWitnesses(Set.of("b/1"));
        write();
        assertThat(ledger.witnessesOf("a/1")).isEmpty();
        book.acknowledged("b/1", Map.of("plots", 600L));
        write();
        assertThat(ledger.witnessesOf("a/1")).containsExactly("b/1");
    }

    @Test
    void aGiveBackWithoutAnAnswerCountsAsDoneAndATakeAsNotDone() {
        total(1_000_000);
        write();
        long free = book.freeTokens().get("plots");
        assertThat(free).isPositive();
        book.planReturnOfAll(ledger, revision);
        assertThat(book.freeTokens().get("plots")).isZero();
        book.observed(ledger, revision);
        assertThat(book.freeTokens().get("plots")).isZero();
        book.observed(ledger, revision + 1);
        assertThat(book.freeTokens().get("plots")).isEqualTo(free);
    }

    @Test
    void tokensThatWereHandedOverAreSpentByTheReceiverOnly() {
        total(1_000_000);
        write();
        long free = book.freeTokens().get("plots");
        long given = book.give("plots", 100);
        assertThat(given).isGreaterThanOrEqualTo(100);
        assertThat(book.freeTokens().get("plots")).isEqualTo(free - given);
        long left = free - given;
        assertThat(book.give("plots", free))
                .as("half of a holding that is too small")
                .isEqualTo(left / 2);
    }
}
