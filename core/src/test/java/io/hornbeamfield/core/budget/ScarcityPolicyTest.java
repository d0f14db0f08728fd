package io.hornbeamfield.core.budget;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Tests the use of the last tokens of a budget: fragments are merged by transfers, and no request is refused while the
 * routers together may cover it.
 */
class ScarcityPolicyTest {
    private final ScarcityPolicy scarcity = new ScarcityPolicy();

    @Test
    void aRouterWithoutWaitingRequestsGives() {
        assertThat(scarcity.shouldGrant(0, 100)).isTrue();
    }

    @Test
    void ofTwoRoutersThatWaitTheOneThatLacksLessGetsTheTokens() {
        assertThat(scarcity.shouldGrant(101, 100)).isTrue();
        assertThat(scarcity.shouldGrant(100, 100)).isFalse();
        assertThat(scarcity.shouldGrant(100, 101)).isFalse();
    }

    @Test
    void aRouterThatAskedInVainDoesNotKeepTokensThatItCannotUse() {
        scarcity.recordRound(50, 400);
        assertThat(scarcity.shouldGrant(50, 100)).isTrue();
        scarcity.recordRound(0, 400);
        assertThat(scarcity.shouldGrant(50, 100)).isFalse();
    }

    @Test
    void onlyTwoRoundsInARowDenyARequest() {
        assertThat(scarcity.mayCover(1_000)).isTrue();
        scarcity.recordRound(500, 400);
        assertThat(scarcity.mayCover(1_000)).isTrue();
        scarcity.recordRound(500, 300);
        assertThat(scarcity.mayCover(401)).isFalse();
        assertThat(scarcity.mayCover(400)).isTrue();
    }

    @Test
    void nothingIsDeniedWhileThePlatformMayHaveTokens() {
        scarcity.recordRound(500, 400);
        scarcity.recordRound(500, 400);
        scarcity.clearPotential();
        scarcity.recordRound(500, 400);
        assertThat(scarcity.mayCover(1_000)).isTrue();
    }
}
