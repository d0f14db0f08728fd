package io.hornbeamfield.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against accepting requests in a planned stop that a short grace period cuts off. */
final class ShutdownScheduleTest {
    /** Requests that are sent later than this after SIGTERM must not be cut. */
    private static final long LATEST_EXCUSED_MS = 3_000;

    @ParameterizedTest
    @ValueSource(longs = {0, 1_000, 3_000, 8_000, 60_000, 3_600_000})
    void theStagesFollowEachOtherWithinTheGracePeriod(long graceMs) {
        ShutdownSchedule s = ShutdownSchedule.of(graceMs);
        assertThat(s.refuseMs()).isLessThanOrEqualTo(Math.min(LATEST_EXCUSED_MS, graceMs / 2));
        assertThat(s.completeMs()).isBetween(s.refuseMs(), s.endMs());
        assertThat(s.endMs()).isBetween(graceMs - graceMs / 6, graceMs);
        assertThat(s.exitMs()).isBetween(s.endMs(), graceMs);
        assertThat(s.stageAt(s.endMs())).isEqualTo(ShutdownStage.ENDED);
    }

    @Test
    void requestsAreAcceptedThenRefusedThenEnded() {
        ShutdownSchedule s = ShutdownSchedule.of(8_000);
        assertThat(s.stageAt(0)).isEqualTo(ShutdownStage.ACCEPTING);
        assertThat(s.stageAt(2_799)).isEqualTo(ShutdownStage.ACCEPTING);
        assertThat(s.stageAt(2_800)).isEqualTo(ShutdownStage.REFUSING);
        assertThat(s.stageAt(6_700)).isEqualTo(ShutdownStage.COMPLETING);
        assertThat(s.stageAt(7_300)).isEqualTo(ShutdownStage.ENDED);
        assertThat(ShutdownStage.RUNNING.isAtLeast(ShutdownStage.ACCEPTING)).isFalse();
    }
}
