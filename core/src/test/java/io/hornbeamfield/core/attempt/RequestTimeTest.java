package io.hornbeamfield.core.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against a deadline that counts from the handling of a request. */
final class RequestTimeTest {
    private final ManualClock clock = ManualClock.atEpochSecond(1_000);

    @Test
    void theTimeCountsFromTheArrival() {
        RequestTime time = RequestTime.start(clock, 700, Optional.of(2_000L), 1_500);
        assertThat(time.limitMs()).isEqualTo(1_500);
        assertThat(time.remainingMs()).isEqualTo(800);
        clock.advance(Duration.ofMillis(300));
        assertThat(time.elapsedMs()).isEqualTo(1_000);
        assertThat(time.remainingMs()).isEqualTo(500);
        assertThat(time.timeoutMs()).isGreaterThan(500);
    }

    @Test
    void aRequestWithoutALimitOfItsCallerHasThatOfItsRoute() {
        assertThat(RequestTime.start(clock, 0, Optional.empty(), 8_000).remainingMs())
                .isEqualTo(8_000);
    }

    @Test
    void noAttemptIsAllowedShortlyBeforeTheDeadline() {
        RequestTime time = RequestTime.start(clock, 0, Optional.of(100L), 8_000);
        clock.advance(Duration.ofMillis(100 - RequestTime.MIN_ATTEMPT_MS));
        assertThat(time.allowsAttempt()).isTrue();
        clock.advance(Duration.ofMillis(1));
        assertThat(time.allowsAttempt()).isFalse();
    }

    @Test
    void aRequestThatWaitedUntilItsDeadlineAllowsNoAttempt() {
        RequestTime time = RequestTime.start(clock, 3_000, Optional.of(2_000L), 8_000);
        assertThat(time.remainingMs()).isEqualTo(-1_000);
        assertThat(time.allowsAttempt()).isFalse();
    }
}
