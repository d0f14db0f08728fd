package io.hornbeamfield.router;

import io.hornbeamfield.core.budget.Reservation;
import io.hornbeamfield.core.result.Result;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Reserves and settles tokens for traffic. Callable from any thread.
 *
 * <pre>{@code
 * budgets.reserve("plots", 400, Duration.ofSeconds(2))
 *         .thenAccept(result -> result.fold(this::send, this::refuse));
 * }</pre>
 */
public interface BudgetService {
    /**
     * Reserves tokens, from the allotment at once if it suffices, else after a take from the platform, a transfer from
     * a peer or the release of other reservations within the wait.
     */
    CompletableFuture<Result<Reservation>> reserve(String budget, long tokens, Duration wait);

    /** Ends a reservation; the tokens not spent become available again. */
    void settle(Reservation reservation, long spentTokens);
}
