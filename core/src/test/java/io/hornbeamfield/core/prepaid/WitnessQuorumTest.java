package io.hornbeamfield.core.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against quorums that do not intersect, and against quorums that a few failures make unreachable. */
final class WitnessQuorumTest {
    private static final int MANY = 40;

    @Test
    void theAnswersAlwaysContainAWitnessThatAcknowledged() {
        for (int n = 1; n < MANY; n++) {
            int both = WitnessQuorum.requiredAnswers(n) + WitnessQuorum.requiredAcknowledgements(n);
            assertThat(both).as("%d witnesses", n).isGreaterThan(n);
            assertThat(WitnessQuorum.requiredAnswers(n)).isBetween(1, n);
            assertThat(WitnessQuorum.requiredAcknowledgements(n)).isBetween(1, n);
        }
    }

    /** Scenario: five of eight instances are killed at once, which leaves three of the seven witnesses of each. */
    @Test
    void threeOfSevenWitnessesKnowTheUseOfAnInstance() {
        Map<String, Map<String, Long>> answers =
                Map.of("a", Map.of("plots", 100L), "b", Map.of("plots", 700L), "c", Map.of());
        Set<String> witnesses = Set.of("a", "b", "c", "d", "e", "f", "g");

        Optional<EndedHolder> ended = EndedHolder.fromAnswers("x", witnesses, answers);

        assertThat(ended.orElseThrow().used("plots", 5_000)).isEqualTo(700);
    }

    @Test
    void answersOfTooFewWitnessesOrOfOtherInstancesProveNothing() {
        Set<String> witnesses = Set.of("a", "b", "c", "d", "e", "f", "g");
        Map<String, Map<String, Long>> answers = Map.of("a", Map.of(), "b", Map.of(), "z", Map.of());

        assertThat(EndedHolder.fromAnswers("x", witnesses, answers)).isEmpty();
        assertThat(EndedHolder.fromAnswers("x", Set.of(), answers)).isEmpty();
    }

    /** Regression (quabbin scale-1): an instance without the store stopped serving when one witness was gone. */
    @Test
    void aLimitCountsWhileTwoOfSevenWitnessesAreSilent() {
        WitnessedLimits limits = new WitnessedLimits();
        Set<String> witnesses = Set.of("a", "b", "c", "d", "e", "f", "g");
        limits.applyRegistered(witnesses, true);
        for (String w : Set.of("a", "b", "c", "d")) {
            limits.recordAcknowledgement(w, Map.of("plots", 900L));
        }
        assertThat(limits.limit("plots")).isZero();
        limits.recordAcknowledgement("e", Map.of("plots", 800L));
        assertThat(limits.limit("plots")).isEqualTo(800);
    }

    @Test
    void untilAWriteIsResolvedTheLimitNeedsBothTheOldAndTheNewWitnesses() {
        WitnessedLimits limits = new WitnessedLimits();
        limits.applyRegistered(Set.of("a"), true);
        limits.recordAcknowledgement("a", Map.of("plots", 900L));
        limits.propose(Set.of("b", "c"));
        limits.recordAcknowledgement("b", Map.of("plots", 500L));
        assertThat(limits.limit("plots")).isZero();
        limits.recordAcknowledgement("c", Map.of("plots", 600L));
        assertThat(limits.limit("plots")).isEqualTo(500);
        limits.applyRegistered(Set.of("b", "c"), true);
        assertThat(limits.limit("plots")).isEqualTo(500);
        assertThat(limits.all()).containsExactlyInAnyOrder("b", "c");
    }
}
