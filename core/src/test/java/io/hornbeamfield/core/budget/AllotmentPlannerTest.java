package io.hornbeamfield.core.budget;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.budget.AllotmentAction.NoAction;
import io.hornbeamfield.core.budget.AllotmentAction.Return;
import io.hornbeamfield.core.budget.AllotmentAction.Take;
import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that refills follow demand and that surplus and idle tokens are returned. */
class AllotmentPlannerTest {
    private final ManualClock clock = ManualClock.atEpochSecond(0);
    private final DemandRate rate = new DemandRate(clock, Duration.ofSeconds(10));
    private final Allotment allotment = new Allotment("plots", "r1-00000001");
    private final AllotmentPlanner planner =
            new AllotmentPlanner(SliceSizers.demandProportional(Duration.ofSeconds(10), 0.5), Duration.ofSeconds(60));
    private BudgetRecord record = BudgetRecord.create("plots").withTopUp("first", 100_000);
    private long version = 1;

    private AllotmentAction next(long waitingTokens) {
        return planner.nextAction(allotment, rate, waitingTokens, record, 4);
    }

    private void take(long tokens) {
        record = allotment.planTake(record, tokens).orElseThrow().record();
        allotment.observe(record, ++version);
    }

    /** Records 100 tokens per second for 100 s, ten time constants of the rate. */
    @BeforeEach
    void recordSteadyDemand() {
        for (int i = 0; i < 100; i++) {
            clock.advance(Duration.ofSeconds(1));
            rate.add(100);
        }
    }

    @Test
    void demandIsCoveredForTheHorizon() {
        assertThat(next(0)).isEqualTo(new Take(1_051));
        take(1_051);
        assertThat(next(0)).isEqualTo(new NoAction());
    }

    @Test
    void aRefillIsPlannedBelowAQuarterOfTheTarget() {
        take(262);
        assertThat(next(0)).isEqualTo(new Take(1_051 - 262));
        take(1);
        assertThat(next(0)).isEqualTo(new NoAction());
    }

    @Test
    void theNeedIsTakenEvenBeyondTheShareOfTheFreeTokens() {
        assertThat(next(40_000)).isEqualTo(new Take(40_000));
        assertThat(next(200_000)).isEqualTo(new Take(100_000));
    }

    @Test
    void theShareOfWhatIsFreeIsNeverLessThanAnEighthOfTheDemand() {
        record = record.withHolder("r2-00000002", new HolderEntry(99_000, 0, 0, 0, 0));
        assertThat(next(0)).isEqualTo(new Take(131));
        record = record.withHolder("r2-00000002", new HolderEntry(99_950, 0, 0, 0, 0));
        assertThat(next(0)).isEqualTo(new Take(50));
    }

    @Test
    void aSurplusIsReturnedWhateverIsFree() {
        take(2_103);
        assertThat(next(0)).isEqualTo(new Return(2_103 - 1_051));
    }

    @Test
    void aSliceIsKeptWhenNothingIsFree() {
        take(2_000);
        record = record.withHolder("r2-00000002", new HolderEntry(98_000, 0, 0, 0, 0));
        assertThat(next(0)).isEqualTo(new NoAction());
    }

    @Test
    void everythingIsReturnedAfterIdleTime() {
        take(1_000);
        clock.advance(Duration.ofSeconds(60));
        assertThat(next(0)).isEqualTo(new Return(1_000));
        assertThat(allotment.planReturn(record, 1_000)).isPresent();
        assertThat(next(0)).isEqualTo(new Return(0));
    }

    @Test
    void transfersAreRecordedWhenTheyAreLarge() {
        take(1_000);
        allotment.sendTransfer("t1", 262);
        assertThat(next(0)).isEqualTo(new NoAction());
        allotment.sendTransfer("t2", 1);
        assertThat(next(0)).isEqualTo(new Return(0));
    }

    @Test
    void aRateFallsExponentially() {
        double before = rate.tokensPerSecond();
        clock.advance(Duration.ofSeconds(10));
        assertThat(rate.tokensPerSecond() / before).isBetween(0.367, 0.369);
        assertThat(rate.idleTime()).isEqualTo(Duration.ofSeconds(10));
    }

    @Test
    void aYoungRateIsTheAverageSinceItsCreation() {
        var young = new DemandRate(clock, Duration.ofSeconds(100));
        young.add(1_000);
        assertThat(young.tokensPerSecond()).isBetween(85.0, 85.2);
        clock.advance(Duration.ofSeconds(50));
        assertThat(young.tokensPerSecond()).isBetween(15.4, 15.5);
    }

    @Test
    void fixedAndEvenSlicesIgnoreTheDemand() {
        var input = new SizingInput(100, 0, 0, 500, 8_000, 8);
        assertThat(SliceSizers.fixed(70).target(input)).isEqualTo(70);
        assertThat(SliceSizers.evenSplit().target(input)).isEqualTo(1_000);
    }
}
