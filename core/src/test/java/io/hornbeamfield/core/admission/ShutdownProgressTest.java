package io.hornbeamfield.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against stages of a planned stop that depend on when its polls run. */
final class ShutdownProgressTest {
    private final ManualClock clock = ManualClock.atEpochSecond(0);
    private long graceMs = 8_000;
    private final ShutdownProgress progress = new ShutdownProgress(clock, () -> ShutdownSchedule.of(graceMs));

    @Test
    void requestsAreRefusedInTimeWithoutAnyPoll() {
        clock.advance(Duration.ofMillis(2_799));
        assertThat(progress.stage()).isEqualTo(ShutdownStage.ACCEPTING);
        clock.advance(Duration.ofMillis(1));
        assertThat(progress.stage()).isEqualTo(ShutdownStage.REFUSING);
    }

    @Test
    void requestsAreEndedAtThePollAfterTheirEndIsDue() {
        clock.advance(Duration.ofMillis(7_400));
        assertThat(progress.stage()).isEqualTo(ShutdownStage.COMPLETING);
        assertThat(progress.advance()).isEqualTo(ShutdownStage.COMPLETING);
        assertThat(progress.stage()).isEqualTo(ShutdownStage.COMPLETING);
        assertThat(progress.advance()).isEqualTo(ShutdownStage.ENDED);
        assertThat(progress.stage()).isEqualTo(ShutdownStage.ENDED);
    }

    @Test
    void aLongerGracePeriodBringsNoEarlierStageBack() {
        clock.advance(Duration.ofMillis(3_000));
        assertThat(progress.advance()).isEqualTo(ShutdownStage.REFUSING);
        graceMs = 60_000;
        assertThat(progress.advance()).isEqualTo(ShutdownStage.REFUSING);
        graceMs = 3_000;
        assertThat(progress.advance()).isEqualTo(ShutdownStage.COMPLETING);
        assertThat(progress.advance()).isEqualTo(ShutdownStage.ENDED);
        graceMs = 60_000;
        assertThat(progress.advance()).isEqualTo(ShutdownStage.ENDED);
    }
}
