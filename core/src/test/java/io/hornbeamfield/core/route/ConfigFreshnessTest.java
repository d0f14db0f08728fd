package io.hornbeamfield.core.route;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class ConfigFreshnessTest {
    private static final long ADOPTION_MS = 3_000;

    private final ManualClock clock = ManualClock.atEpochSecond(1_000);
    private long confirmedMs;
    private final ConfigFreshness freshness = new ConfigFreshness(clock, () -> confirmedMs, () -> ADOPTION_MS);

    private void confirm() {
        confirmedMs = clock.millis();
    }

    private void advance(long ms) {
        clock.advance(Duration.ofMillis(ms));
    }

    @Test
    void aRefusalIsFinalUntilAChangeMayHaveBeenMissed() {
        confirm();
        advance(ADOPTION_MS);
        assertThat(freshness.retryAfterMs()).isEmpty();
        advance(1);
        assertThat(freshness.retryAfterMs()).hasValue(ConfigFreshness.MIN_RETRY_AFTER_MS);
    }

    @Test
    void noRefusalIsFinalBeforeTheStoreHasAnswered() {
        assertThat(freshness.ageMs()).isNegative();
        assertThat(freshness.retryAfterMs()).hasValue(ConfigFreshness.MIN_RETRY_AFTER_MS);
    }

    @Test
    void callersComeBackLessOftenTheLongerTheStoreIsAway() {
        confirm();
        advance(ADOPTION_MS + 700);
        assertThat(freshness.retryAfterMs()).hasValue(700);
        advance(60_000);
        assertThat(freshness.retryAfterMs()).hasValue(ConfigFreshness.MAX_RETRY_AFTER_MS);
    }

    /** An instance whose link was full from second 8.24 to 16.72, while others adopted a change each 0.7 s. */
    @Test
    void noRefusalIsFinalOnceAnUnknownChangeIsOlderThanTheAdoptionTime() {
        confirm();
        long knownMs = clock.millis();
        for (long sinceMs = 0; sinceMs < 8_480; sinceMs += 20) {
            boolean finalRefusal = freshness.retryAfterMs().isEmpty();
            long oldestUnknownChangeMs = clock.millis() - knownMs;
            assertThat(finalRefusal && oldestUnknownChangeMs > ADOPTION_MS).isFalse();
            assertThat(finalRefusal).isEqualTo(sinceMs <= ADOPTION_MS);
            advance(20);
        }
        confirm();
        assertThat(freshness.retryAfterMs()).isEmpty();
    }
}
