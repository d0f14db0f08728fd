package io.hornbeamfield.router.control.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.budget.BudgetRecord;
import io.hornbeamfield.core.budget.Reservation;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.core.result.ResultCode;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Guards against callers that exhaust a router's memory with invented budget names. */
class UnknownBudgetTest {
    private final ManualLoop loop = new ManualLoop();
    private final FakePlatform.Store store = new FakePlatform.Store();
    private final TestRouter router = new TestRouter("a", store, loop);

    private CompletableFuture<Result<Reservation>> reserve(String budget) {
        return router.budgets.reserve(budget, 10, Duration.ofSeconds(1));
    }

    @Test
    void accountsOfAbsentBudgetsAreDroppedAndTheirNumberIsBounded() {
        for (int i = 0; i < 10_000; i++) {
            reserve("plots:invented-" + i);
        }
        loop.run();
        assertThat(router.budgets.state()).hasSize(AccountTable.MAX_UNKNOWN_PER_WORKSPACE);
        assertThat(router.platform.reads).isEqualTo(AccountTable.MAX_UNKNOWN_PER_WORKSPACE);
        assertThat(TestRouter.refusal(reserve("plots:one-more"))).isEqualTo(ResultCode.BUDGET_BUSY);
        var otherWorkspace = reserve("fees:invented");
        loop.run();
        assertThat(TestRouter.refusal(otherWorkspace)).isEqualTo(ResultCode.NO_BUDGET);
        loop.advance(BudgetAccount.UNUSED_ACCOUNT_TTL.plusSeconds(1));
        assertThat(router.budgets.state()).isEmpty();
        var again = reserve("plots:one-more");
        loop.run();
        assertThat(TestRouter.refusal(again)).isEqualTo(ResultCode.NO_BUDGET);
    }

    @Test
    void aBudgetThatIsCreatedLaterIsFoundAndNoLongerCounts() {
        for (int i = 0; i < AccountTable.MAX_UNKNOWN_PER_WORKSPACE; i++) {
            String budget = "plots:" + i;
            store.put("budgets/" + budget, BudgetRecord.create(budget).withTopUp("t", 100));
            reserve(budget);
        }
        loop.advance(Duration.ofSeconds(1));
        var absent = reserve("plots:absent");
        loop.run();
        assertThat(TestRouter.refusal(absent)).isEqualTo(ResultCode.NO_BUDGET);
        store.put("budgets/plots:absent", BudgetRecord.create("plots:absent").withTopUp("t", 100));
        loop.advance(Duration.ofSeconds(1));
        var present = reserve("plots:absent");
        loop.advance(Duration.ofSeconds(1));
        assertThat(TestRouter.granted(present)).isTrue();
    }

    /** Tokens taken by a write with a lost answer would be lost with the account. */
    @Test
    void anAccountWithAnOpenReservationOrWriteIsKept() {
        TestRouter.grant(store, 1_000);
        router.platform.loseAnswers = 1;
        var open = router.reserve(100);
        loop.run();
        router.platform.unavailable = true;
        loop.advance(Duration.ofSeconds(60));
        assertThat(router.budgets.state()).containsKey(TestRouter.BUDGET);
        router.platform.unavailable = false;
        loop.advance(Duration.ofSeconds(5));
        assertThat(open.isDone()).isTrue();
        long taken = TestRouter.record(store).holder(router.incarnation).taken();
        assertThat(taken).isPositive();
        assertThat(router.budget().available()
                        + router.budget().reserved()
                        + TestRouter.record(store).holder(router.incarnation).returned())
                .isEqualTo(taken);
    }
}
