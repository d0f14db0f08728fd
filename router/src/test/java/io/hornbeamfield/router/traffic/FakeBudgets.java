package io.hornbeamfield.router.traffic;

import io.hornbeamfield.core.budget.Reservation;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.router.BudgetService;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** In-memory budget service with one balance for all budgets. */
final class FakeBudgets implements BudgetService {
    private final Map<Long, Reservation> open = new HashMap<>();
    private long balance;
    private long spent;
    private long sequence;

    FakeBudgets(long balance) {
        this.balance = balance;
    }

    @Override
    public synchronized CompletableFuture<Result<Reservation>> reserve(String budget, long tokens, Duration wait) {
        if (tokens > balance) {
            return CompletableFuture.completedFuture(Result.refused(ResultCode.BUDGET_EXHAUSTED, "Top up."));
        }
        balance -= tokens;
        Reservation r = new Reservation(budget, ++sequence, tokens);
        open.put(r.id(), r);
        return CompletableFuture.completedFuture(Result.ok(r));
    }

    @Override
    public synchronized void settle(Reservation r, long tokens) {
        if (open.remove(r.id()) == null) {
            throw new IllegalStateException("Reservation " + r + " was settled twice.");
        }
        balance += r.tokens() - tokens;
        spent += tokens;
    }

    synchronized long spent() {
        return spent;
    }

    synchronized int openReservations() {
        return open.size();
    }
}
