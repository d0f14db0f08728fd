package io.hornbeamfield.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against input that counts as new although it may have waited for seconds in its socket. */
final class ArrivalEstimateTest {
    private static final long USUAL_WAIT_MS = 250;

    private final ManualClock clock = ManualClock.atEpochSecond(1_000);
    private final ArrivalEstimate estimate = new ArrivalEstimate(clock);
    private final ArrivalEstimate.Backlog backlog = estimate.new Backlog();

    private void pass(long ms) {
        clock.advance(Duration.ofMillis(ms));
    }

    private void look(boolean connectionFound) {
        estimate.looking();
        backlog.looked(connectionFound);
    }

    @Test
    void inputOfAThreadThatIsNotHeldUpArrivesWhenItIsRead() {
        for (int i = 0; i < 5; i++) {
            look(false);
            pass(ArrivalEstimate.MAX_LOOK_INTERVAL_MS);
            assertThat(estimate.arrivedMs()).isEqualTo(clock.millis());
        }
    }

    @Test
    void inputMayHaveArrivedAtAnyTimeSinceTheLookBefore() {
        look(false);
        long beforeMs = clock.millis();
        pass(3_000);
        look(false);
        assertThat(estimate.arrivedMs()).isEqualTo(beforeMs + USUAL_WAIT_MS);
        assertThat(estimate.elapsedMs(estimate.arrivedMs())).isEqualTo(3_000 - USUAL_WAIT_MS);
    }

    @Test
    void inputMayHaveArrivedWhileTheThreadWaitedToHandleWhatItFound() {
        look(false);
        look(false);
        pass(2_000);
        assertThat(estimate.elapsedMs(estimate.arrivedMs())).isEqualTo(2_000 - USUAL_WAIT_MS);
    }

    @Test
    void inputAfterAHoldUpIsNew() {
        look(false);
        pass(3_000);
        look(false);
        look(false);
        assertThat(estimate.arrivedMs()).isEqualTo(clock.millis());
    }

    @Test
    void inputOfANewConnectionMayHaveWaitedAsLongAsTheConnection() {
        look(false);
        long beforeMs = clock.millis();
        pass(3_000);
        for (int i = 0; i < 20; i++) {
            look(true);
            ArrivalEstimate.Accepted accepted = backlog.accept();
            look(true);
            assertThat(accepted.inputArrivedMs()).isEqualTo(beforeMs + USUAL_WAIT_MS);
        }
    }

    @Test
    void laterInputOfANewConnectionIsNew() {
        look(false);
        pass(3_000);
        look(true);
        ArrivalEstimate.Accepted accepted = backlog.accept();
        look(false);
        look(false);
        assertThat(accepted.inputArrivedMs()).isEqualTo(clock.millis());
    }

    @Test
    void aConnectionThatIsFoundAfterAnEmptyBacklogIsNew() {
        look(false);
        pass(3_000);
        look(false);
        look(true);
        ArrivalEstimate.Accepted accepted = backlog.accept();
        look(false);
        assertThat(accepted.inputArrivedMs()).isEqualTo(clock.millis());
    }
}
