package io.hornbeamfield.core.search;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards the invariants P1, P2, P4 and P5 against every combination of failures that the search reaches. */
class DecisionLogicSearchTest {
    private static final long SCHEDULES = Long.getLong("search.schedules", 100_000);
    private static final int LENGTH = 150;

    private static void assertNoViolation(String name, Schedule schedule) {
        long start = System.nanoTime();
        var found = schedule.search(SCHEDULES, LENGTH);
        System.out.printf("%s: %d schedules in %.1f s%n", name, SCHEDULES, (System.nanoTime() - start) / 1e9);
        assertThat(found).isEmpty();
    }

    @Test
    void randomSchedulesOfAllStepsKeepTheInvariants() {
        assertNoViolation("all steps", Schedule.everything(Mechanisms::new));
    }

    @Test
    void randomSchedulesOfBillingKeepTheInvariants() {
        assertNoViolation("billing", Schedule.billing(Mechanisms::new));
    }
}
