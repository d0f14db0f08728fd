package io.hornbeamfield.router.control.internal;

import static io.hornbeamfield.router.control.internal.TestRouter.grant;
import static io.hornbeamfield.router.control.internal.TestRouter.granted;
import static io.hornbeamfield.router.control.internal.TestRouter.record;
import static io.hornbeamfield.router.control.internal.TestRouter.refusal;
import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.budget.Reservation;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.core.result.ResultCode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Guards against overspending and against refusing requests that the budget covers, when tokens come from the platform.
 */
class BudgetTakeTest {
    private final ManualLoop loop = new ManualLoop();
    private final FakePlatform.Store store = new FakePlatform.Store();
    private final TestRouter router = new TestRouter("a", store, loop);

    @Test
    void firstRequestTakesASliceAndLaterOnesNeedNoPlatform() {
        grant(store, 100_000);
        var first = router.reserve(500);
        loop.run();
        assertThat(granted(first)).isTrue();
        int calls = router.platform.reads + router.platform.writes;
        for (int i = 0; i < 4; i++) {
            assertThat(granted(router.reserve(500))).isTrue();
        }
        assertThat(router.platform.reads + router.platform.writes).isEqualTo(calls);
    }

    @Test
    void requestsThatWaitTogetherShareOneUpdateInFlight() {
        grant(store, 100_000);
        CompletableFuture<Void> slow = new CompletableFuture<>();
        router.platform.delay = () -> slow;
        List<CompletableFuture<Result<Reservation>>> all = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            all.add(router.reserve(100));
        }
        loop.run();
        assertThat(router.platform.reads).isEqualTo(1);
        slow.complete(null);
        loop.run();
        assertThat(all).allMatch(TestRouter::granted);
        assertThat(router.platform.writes).isEqualTo(1);
    }

    @Test
    void aTakeWhoseAnswerIsLostIsCreditedOnce() {
        grant(store, 10_000);
        router.platform.loseAnswers = 1;
        var first = router.reserve(1_000);
        loop.advanceMillis(900);
        assertThat(granted(first)).isTrue();
        long taken = record(store).holder(router.incarnation).taken();
        assertThat(router.budget().available() + router.budget().reserved()).isEqualTo(taken);
    }

    @Test
    void aConflictingUpdateIsPlannedAnewOnTheCurrentRecord() {
        grant(store, 10_000);
        TestRouter other = new TestRouter("b", store, loop);
        router.platform.beforeWrite = () -> {
            router.platform.beforeWrite = () -> {};
            store.put("budgets/plots", record(store).withTopUp("late", 5_000));
        };
        var first = router.reserve(800);
        var second = other.reserve(700);
        loop.advanceMillis(500);
        assertThat(granted(first)).isTrue();
        assertThat(granted(second)).isTrue();
        assertThat(record(store).granted()).isEqualTo(15_000);
    }

    @Test
    void aBudgetThatDoesNotExistIsRefusedAtOnce() {
        var answer = router.reserve(10);
        loop.run();
        assertThat(refusal(answer)).isEqualTo(ResultCode.NO_BUDGET);
    }

    @Test
    void anExhaustedBudgetIsRefusedAtOnceAndATopUpIsSeenSoon() {
        grant(store, 1_000);
        var all = router.reserve(1_000);
        loop.run();
        router.settle(all, 1_000);
        var refused = router.reserve(100);
        loop.advanceMillis(400);
        assertThat(refusal(refused)).isEqualTo(ResultCode.BUDGET_EXHAUSTED);
        store.put("budgets/plots", record(store).withTopUp("again", 1_000));
        loop.advanceMillis(300);
        var after = router.reserve(100);
        loop.advanceMillis(300);
        assertThat(granted(after)).isTrue();
    }

    /** BUDGET_EXHAUSTED would make callers give up although the other router may still return its tokens. */
    @Test
    void requestsBeyondTheWaitingOnesAreBusyWhileAnotherRouterHoldsTokens() {
        grant(store, 1_000);
        var held = new TestRouter("b", store, loop).reserve(1_000);
        loop.run();
        assertThat(granted(held)).isTrue();
        List<CompletableFuture<Result<Reservation>>> all = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            all.add(router.reserve(10));
        }
        loop.advanceMillis(100);
        var refused = all.stream()
                .filter(CompletableFuture::isDone)
                .map(TestRouter::refusal)
                .toList();
        assertThat(refused).isNotEmpty().containsOnly(ResultCode.BUDGET_BUSY);
    }

    @Test
    void theLastTokensServeASmallRequestBehindALargeOne() {
        grant(store, 1_000);
        var large = router.reserve(1_500);
        loop.advanceMillis(10);
        var small = router.reserve(990);
        loop.advanceMillis(10);
        assertThat(granted(small)).isTrue();
        loop.advanceMillis(2_000);
        assertThat(refusal(large)).isEqualTo(ResultCode.BUDGET_EXHAUSTED);
    }

    @Test
    void aReleasedReservationServesAWaitingRequest() {
        grant(store, 1_000);
        var first = router.reserve(1_000);
        loop.run();
        var second = router.reserve(400);
        loop.advanceMillis(300);
        assertThat(second.isDone()).isFalse();
        router.settle(first, 100);
        loop.run();
        assertThat(granted(second)).isTrue();
    }

    @Test
    void withThePlatformUnavailableHeldTokensAreSpentAndFurtherRequestsAreBusy() {
        grant(store, 100_000);
        var first = router.reserve(1_000);
        loop.run();
        router.platform.unavailable = true;
        long held = router.budget().available();
        assertThat(granted(router.reserve(held))).isTrue();
        var beyond = router.reserve(1_000);
        loop.advanceMillis(2_000);
        assertThat(refusal(beyond)).isEqualTo(ResultCode.BUDGET_BUSY);
        router.platform.unavailable = false;
        loop.advanceMillis(3_000);
        var later = router.reserve(1_000);
        loop.advanceMillis(100);
        assertThat(granted(later)).isTrue();
        assertThat(granted(first)).isTrue();
    }

    @Test
    void tokensWithoutDemandGoBackToThePlatform() {
        grant(store, 100_000);
        var first = router.reserve(1_000);
        loop.run();
        router.settle(first, 400);
        loop.advance(Duration.ofSeconds(40));
        assertThat(record(store).free()).isEqualTo(99_600);
        assertThat(router.budget().available()).isZero();
    }

    @Test
    void aGracefulStopFoldsTheEntryAlsoWhenItsLastAnswerIsLost() {
        grant(store, 10_000);
        var first = router.reserve(1_000);
        loop.run();
        var closed = router.budgets.close();
        loop.advanceMillis(500);
        assertThat(closed.isDone()).isFalse();
        router.platform.loseAnswers = 1;
        router.settle(first, 300);
        loop.advanceMillis(3_000);
        assertThat(closed.isDone()).isTrue();
        assertThat(record(store).holders()).isEmpty();
        assertThat(record(store).free()).isEqualTo(9_700);
    }

    @Test
    void aRouterWhoseEntryWasReleasedSpendsNothingMore() {
        grant(store, 10_000);
        var first = router.reserve(1_000);
        loop.run();
        assertThat(granted(first)).isTrue();
        store.put("budgets/plots", record(store).withRelease(router.incarnation, 1_000));
        loop.advance(Duration.ofSeconds(31));
        int reads = router.platform.reads;
        var later = router.reserve(1_000_000);
        loop.advanceMillis(2_000);
        assertThat(refusal(later)).isEqualTo(ResultCode.BUDGET_BUSY);
        assertThat(granted(router.reserve(1))).isFalse();
        assertThat(router.platform.reads - reads).isLessThan(10);
    }
}
