package io.hornbeamfield.core.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a server whose input without an end takes unbounded work, in large parts or in small ones. */
final class InputAllowanceTest {
    private static final long LIMIT = 1_000;
    private static final int PART_COST = 64;

    private final InputAllowance allowance = new InputAllowance(LIMIT, PART_COST);

    private int partsUntilExhausted(int bytes) {
        int parts = 0;
        while (allowance.charge(bytes)) {
            parts++;
        }
        return parts;
    }

    @Test
    void theBytesOfAllPartsAreBounded() {
        assertThat(partsUntilExhausted(400)).isEqualTo(2);
    }

    @Test
    void theNumberOfEmptyPartsIsBounded() {
        assertThat(partsUntilExhausted(0)).isEqualTo((int) (LIMIT / PART_COST));
    }

    @Test
    void inputThatBringsSomethingNewIsUnbounded() {
        for (int i = 0; i < 100; i++) {
            assertThat(allowance.charge(500)).isTrue();
            allowance.renew();
        }
    }
}
