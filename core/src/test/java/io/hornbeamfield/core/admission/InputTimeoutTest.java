package io.hornbeamfield.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import org.junit.jupiter.api.Test;

/** Guards against idle connections that are closed early, and against heads that arrive without end. */
final class InputTimeoutTest {
    private static final long HEADER_MS = 3_000;
    private static final long IDLE_MS = 15_000;

    private Clock clock = Clock.fixed(Instant.EPOCH, ZoneOffset.UTC);
    private final InputTimeout timeout = new InputTimeout(new Clock() {
        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Instant instant() {
            return clock.instant();
        }
    });

    private void advance(long ms) {
        clock = Clock.offset(clock, Duration.ofMillis(ms));
    }

    private boolean elapsed() {
        return timeout.hasElapsed(HEADER_MS, IDLE_MS);
    }

    @Test
    void aConnectionIsIdleFromItsLastInputOrOutput() {
        advance(IDLE_MS);
        assertThat(elapsed()).isFalse();
        timeout.active();
        advance(IDLE_MS);
        assertThat(elapsed()).isFalse();
        advance(1);
        assertThat(elapsed()).isTrue();
    }

    @Test
    void aHeadMustEndInTimeHoweverOftenPartsOfItArrive() {
        for (int i = 0; i < 4; i++) {
            timeout.headReceived();
            assertThat(elapsed()).isFalse();
            advance(HEADER_MS / 4 + 1);
        }
        assertThat(elapsed()).isTrue();
        timeout.headEnded();
        assertThat(elapsed()).isFalse();
    }

    @Test
    void aLimitThatChangesHoldsForConnectionsThatAreIdleAlready() {
        advance(IDLE_MS / 2);
        assertThat(timeout.hasElapsed(HEADER_MS, IDLE_MS / 4)).isTrue();
        assertThat(elapsed()).isFalse();
    }
}
