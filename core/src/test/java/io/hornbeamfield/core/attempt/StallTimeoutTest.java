package io.hornbeamfield.core.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against ending slow streams, and against stalled ones that outlast the timeout of their callers. */
final class StallTimeoutTest {
    @Test
    void aStreamMayPauseFourTimesAsLongAsItsRouteDeclares() {
        assertThat(StallTimeout.ms(0, 500)).isGreaterThanOrEqualTo(4 * 500);
        assertThat(StallTimeout.ms(300, 250)).isGreaterThanOrEqualTo(4 * 250);
    }

    @Test
    void halfOfTheCallersTimeoutIsLeftForResuming() {
        assertThat(StallTimeout.ms(0, 0)).isEqualTo(1_000);
        assertThat(StallTimeout.ms(2_000, 0)).isEqualTo(4_000);
        assertThat(StallTimeout.ms(0, 500)).isEqualTo(2_000);
    }
}
