package io.hornbeamfield.router;

import io.hornbeamfield.core.budget.Reservation;
import io.hornbeamfield.core.result.Result;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Reserves and settles tokens for requests. Thread-safe.
 *
 * <pre>{@code
 * budgets.reserve("plots", 400, Duration.ofSeconds(2))
 *         .thenAccept(result -> result.fold(this::send, this::refuse));
 * }</pre>
 */
public interface BudgetService {
    /**
     * Reserves tokens: at once if the allotment suffices, otherwise after a take from the platform, a transfer from a
     * peer or the release of other reservations, for at most the given wait.
     */
    CompletableFuture<Result<Reservation>> reserve(String budget, long tokens, Duration wait);

    /** Settles a reservation; tokens that were not spent become available again. */
    void settle(Reservation reservation, long spentTokens);
}
