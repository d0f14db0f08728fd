package io.hornbeamfield.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against retries that amplify an overload. */
class RetryBudgetTest {
    @Test
    void retriesAreAShareOfTheRequestsAfterTheInitialBudget() {
        RetryBudget budget = new RetryBudget(2);
        assertThat(budget.tryRetry()).isTrue();
        assertThat(budget.tryRetry()).isTrue();
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.requestStarted(0.1);
            retries += budget.tryRetry() ? 1 : 0;
        }
        assertThat(retries).isBetween(99, 100);
    }

    @Test
    void requestsWithoutRetriesAccumulateNoMoreThanTheBound() {
        RetryBudget budget = new RetryBudget(3);
        for (int i = 0; i < 1_000; i++) {
            budget.requestStarted(1);
        }
        assertThat(budget.available()).isEqualTo(3);
    }
}
