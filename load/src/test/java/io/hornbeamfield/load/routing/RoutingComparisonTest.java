package io.hornbeamfield.load.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.routing.BackendChooser;
import io.hornbeamfield.core.routing.BackendChoosers;
import io.hornbeamfield.core.routing.PrefixIndex;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/** Guards against a change of the choosers or of the admission queue that loses what the benchmark measured. */
class RoutingComparisonTest {
    private static final long SEED = 11;

    private static RunResult replay(
            Map<String, Double> weights,
            List<Trace.Phase> phases,
            Function<PrefixIndex, BackendChooser> chooser,
            boolean fair) {
        FleetModel.Limits limits = new FleetModel.Limits(24, 512, Duration.ofSeconds(8), fair);
        return FleetModel.replay(Trace.generate(SEED, weights, phases), SEED, chooser, limits, 20_000_000);
    }

    private static RunResult steady(double rate, Function<PrefixIndex, BackendChooser> chooser) {
        return replay(Trace.oneLargeNineSmall(0.4), List.of(new Trace.Phase(60, rate)), chooser, true);
    }

    @Test
    void theSameSeedGivesTheSameFigures() {
        RunResult a = steady(30, BackendChoosers::prefixAware);
        RunResult b = steady(30, BackendChoosers::prefixAware);
        assertThat(a.firstTokenMs(99, w -> true)).isEqualTo(b.firstTokenMs(99, w -> true));
        assertThat(a.hitShare()).isEqualTo(b.hitShare());
    }

    @Test
    void thePrefixAwareChoiceHasMoreHitsAndAnEarlierFirstTokenThanRoundRobin() {
        RunResult aware = steady(35, BackendChoosers::prefixAware);
        RunResult turns = steady(35, i -> BackendChoosers.roundRobin());
        assertThat(aware.hitShare()).isGreaterThan(turns.hitShare() + 0.2);
        assertThat(aware.firstTokenMs(95, w -> true)).isLessThan(turns.firstTokenMs(95, w -> true) / 2);
    }

    @Test
    void goodputAtTwiceTheCapacityStaysAboveNineTenthsAndRecoversWithinSeconds() {
        List<Trace.Phase> phases = List.of(new Trace.Phase(60, 40), new Trace.Phase(40, 80), new Trace.Phase(40, 20));
        RunResult r = replay(Trace.oneLargeNineSmall(0.4), phases, BackendChoosers::prefixAware, true);
        assertThat(r.goodput(60, 100)).isGreaterThan(0.9 * r.goodput(20, 60));
        assertThat(r.recoverySeconds(100, 140)).isBetween(0L, 10L);
    }

    @Test
    void aFloodOfOneWorkspaceLeavesTheSmallOnesServed() {
        Map<String, Double> weights = Trace.oneLargeNineSmall(120.0 / 122);
        List<Trace.Phase> flood = List.of(new Trace.Phase(60, 122));
        RunResult fair = replay(weights, flood, BackendChoosers::prefixAware, true);
        RunResult unfair = replay(weights, flood, BackendChoosers::prefixAware, false);
        assertThat(fair.goodShare(w -> w.startsWith("small"))).isGreaterThan(0.99);
        assertThat(unfair.goodShare(w -> w.startsWith("small"))).isLessThan(0.9);
    }
}
