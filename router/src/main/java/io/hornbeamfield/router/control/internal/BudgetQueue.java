package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.budget.Allotment;
import io.hornbeamfield.core.budget.Reservation;
import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.Result;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/** The requests that wait for tokens of one budget, in the order of their arrival. Used on the control thread. */
final class BudgetQueue {
    private final List<BudgetWaiter> waiters = new ArrayList<>();
    private volatile int size;

    void add(BudgetWaiter waiter) {
        waiters.add(waiter);
        size = waiters.size();
    }

    /** Returns the number of waiting requests. Callable from any thread. */
    int size() {
        return size;
    }

    /** Returns the tokens that all waiting requests need. */
    long need() {
        return waiters.stream().mapToLong(BudgetWaiter::tokens).sum();
    }

    /** Returns the tokens that the smallest waiting request needs, 0 if none waits. */
    long smallest() {
        return waiters.stream().mapToLong(BudgetWaiter::tokens).min().orElse(0);
    }

    /**
     * Reserves for every request for which the balance suffices. A large request does not hold up smaller ones behind
     * it, so that the end of a budget can be used.
     */
    void serve(Allotment allotment) {
        for (BudgetWaiter waiter : List.copyOf(waiters)) {
            Optional<Reservation> reservation = allotment.reserve(waiter.tokens());
            if (reservation.isPresent()) {
                waiters.remove(waiter);
                if (!waiter.answer().complete(Result.ok(reservation.get()))) {
                    allotment.settle(reservation.get(), 0);
                }
            }
        }
        size = waiters.size();
    }

    /** Refuses the requests for which the function returns a refusal. Returns how many were refused. */
    int refuse(Function<BudgetWaiter, Optional<Refusal>> decision) {
        int before = waiters.size();
        for (BudgetWaiter waiter : List.copyOf(waiters)) {
            decision.apply(waiter).ifPresent(refusal -> {
                waiters.remove(waiter);
                waiter.answer().complete(Result.refused(refusal));
            });
        }
        size = waiters.size();
        return before - size;
    }
}
