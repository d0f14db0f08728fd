package io.hornbeamfield.core.budget;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.budget.AllotmentAction.Nothing;
import io.hornbeamfield.core.budget.AllotmentAction.Return;
import io.hornbeamfield.core.budget.AllotmentAction.Take;
import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards the slice policy: refills follow demand, surplus and idle tokens go back. */
class AllotmentPlannerTest {
    private final ManualClock clock = ManualClock.atEpochSecond(0);
    private final DemandRate rate = new DemandRate(clock, Duration.ofSeconds(10));
    private final Allotment allotment = new Allotment("plots", "r1-00000001");
    private final AllotmentPlanner planner =
            new AllotmentPlanner(SliceSizers.demandProportional(Duration.ofSeconds(10), 0.5), Duration.ofSeconds(60));
    private BudgetRecord record = BudgetRecord.create("plots").withTopUp("first", 100_000);
    private long version = 1;

    private AllotmentAction next(long need) {
        return planner.next(allotment, rate, need, record, 4);
    }

    private void hold(long tokens) {
        record = allotment.planTake(record, tokens).orElseThrow().record();
        allotment.observe(record, ++version);
    }

    @Test
    void demandIsCoveredForTheHorizon() {
        rate.add(1_000);
        assertThat(next(0)).isEqualTo(new Take(1_000));
        hold(1_000);
        assertThat(next(0)).isEqualTo(new Nothing());
    }

    @Test
    void aRefillIsPlannedBelowHalfOfTheTarget() {
        rate.add(1_000);
        hold(499);
        assertThat(next(0)).isEqualTo(new Take(501));
        hold(1);
        assertThat(next(0)).isEqualTo(new Nothing());
    }

    @Test
    void theNeedIsTakenEvenBeyondTheShareOfTheFreeTokens() {
        assertThat(next(40_000)).isEqualTo(new Take(40_000));
        assertThat(next(200_000)).isEqualTo(new Take(100_000));
    }

    @Test
    void aSurplusIsReturned() {
        rate.add(1_000);
        hold(2_001);
        assertThat(next(0)).isEqualTo(new Return(1_001));
    }

    @Test
    void everythingIsReturnedAfterIdleTime() {
        rate.add(1_000);
        hold(1_000);
        clock.advance(Duration.ofSeconds(60));
        assertThat(next(0)).isEqualTo(new Return(1_000));
        assertThat(allotment.planReturn(record, 1_000)).isPresent();
        assertThat(next(0)).isEqualTo(new Return(0));
    }

    @Test
    void transfersAreRecordedSoonAfterwards() {
        rate.add(1_000);
        hold(1_000);
        allotment.sendTransfer("t1", 10);
        assertThat(next(0)).isEqualTo(new Return(0));
    }

    @Test
    void aRateFallsExponentially() {
        rate.add(1_000);
        assertThat(rate.tokensPerSecond()).isEqualTo(100);
        clock.advance(Duration.ofSeconds(10));
        assertThat(rate.tokensPerSecond()).isBetween(36.7, 36.8);
        assertThat(rate.idleTime()).isEqualTo(Duration.ofSeconds(10));
    }

    @Test
    void fixedAndEvenSlicesIgnoreTheDemand() {
        var demand = new SliceDemand(100, 0, 0, 500, 8_000, 8);
        assertThat(SliceSizers.fixed(70).target(demand)).isEqualTo(70);
        assertThat(SliceSizers.evenSplit().target(demand)).isEqualTo(1_000);
    }
}
