package io.hornbeamfield.load.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards the targets of section 1.2 and the repeatability of the policy benchmark. */
class PolicyComparisonTest {
    private static final SpendPolicy CHOSEN = SpendPolicy.chosen(600, 0.5, 60_000);
    private final Trace trace = Trace.generate(Deployment.lampka(), 1_800, 11);

    private Measures replay(SpendPolicy policy, Scenario scenario) {
        return Simulation.replay(Deployment.lampka(), policy, scenario, trace);
    }

    @ParameterizedTest
    @EnumSource(Scenario.class)
    void noPolicyOverspends(Scenario scenario) {
        for (SpendPolicy policy : SpendPolicy.all(600, 0.5, 60_000)) {
            assertThat(replay(policy, scenario).overspendTokens()).isZero();
        }
    }

    @Test
    void theChosenPolicyMeetsTheTargetsWithAllRoutersUp() {
        Measures chosen = replay(CHOSEN, Scenario.ALL_UP);
        Measures perRequest = replay(SpendPolicy.all(600, 0.5, 60_000).get(0), Scenario.ALL_UP);
        assertThat(chosen.falseRefusalRate()).isLessThan(0.001);
        assertThat(chosen.platformCallsPer1000() * 50).isLessThan(perRequest.platformCallsPer1000());
    }

    @Test
    void theChosenPolicyMeetsTheTargetWithAThirdOfTheRoutersCutOff() {
        assertThat(replay(CHOSEN, Scenario.PARTITION).falseRefusalRate()).isLessThan(0.01);
    }

    @Test
    void theSameSeedGivesTheSameFigures() {
        assertThat(replay(CHOSEN, Scenario.KILLS)).isEqualTo(replay(CHOSEN, Scenario.KILLS));
    }
}
