package io.hornbeamfield.core.budget;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards the last tokens of a budget: fragments come together, and no request is refused while others may cover it. */
class ScarcityTest {
    private final Scarcity scarcity = new Scarcity();

    @Test
    void aRouterWithoutWaitingRequestsGives() {
        assertThat(scarcity.gives(0, 100)).isTrue();
    }

    @Test
    void ofTwoRoutersThatWaitTheOneThatLacksLessGetsTheTokens() {
        assertThat(scarcity.gives(101, 100)).isTrue();
        assertThat(scarcity.gives(100, 100)).isFalse();
        assertThat(scarcity.gives(100, 101)).isFalse();
    }

    @Test
    void aRouterThatAskedInVainDoesNotKeepTokensThatItCannotUse() {
        scarcity.roundEnded(50, 400);
        assertThat(scarcity.gives(50, 100)).isTrue();
        scarcity.roundEnded(0, 400);
        assertThat(scarcity.gives(50, 100)).isFalse();
    }

    @Test
    void onlyTwoRoundsInARowDenyARequest() {
        assertThat(scarcity.mayCover(1_000)).isTrue();
        scarcity.roundEnded(500, 400);
        assertThat(scarcity.mayCover(1_000)).isTrue();
        scarcity.roundEnded(500, 300);
        assertThat(scarcity.mayCover(401)).isFalse();
        assertThat(scarcity.mayCover(400)).isTrue();
    }

    @Test
    void nothingIsDeniedWhileThePlatformMayHaveTokens() {
        scarcity.roundEnded(500, 400);
        scarcity.roundEnded(500, 400);
        scarcity.potentialUnknown();
        scarcity.roundEnded(500, 400);
        assertThat(scarcity.mayCover(1_000)).isTrue();
    }
}
