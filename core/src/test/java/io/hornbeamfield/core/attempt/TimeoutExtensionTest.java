package io.hornbeamfield.core.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a timeout that ends an attempt whose answer has arrived but was not read, and against a long one. */
final class TimeoutExtensionTest {
    @Test
    void aTimeoutThatIsHandledInTimeIsNotExtended() {
        assertThat(TimeoutExtension.ms(1_000, 1_000)).isZero();
        assertThat(TimeoutExtension.ms(1_000, 1_015)).isZero();
    }

    @Test
    void aLateTimeoutIsExtendedByItsLatenessWithinALimit() {
        assertThat(TimeoutExtension.ms(1_000, 1_150)).isEqualTo(150);
        assertThat(TimeoutExtension.ms(1_000, 6_000)).isEqualTo(250);
    }
}
