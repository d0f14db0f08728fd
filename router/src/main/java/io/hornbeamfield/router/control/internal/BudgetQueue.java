package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.budget.Allotment;
import io.hornbeamfield.core.budget.Reservation;
import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.Result;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * The requests that wait for tokens of one budget, in order of arrival. Confined to the control thread except where
 * stated.
 */
final class BudgetQueue {
    private final List<PendingReservation> waiting = new ArrayList<>();
    private volatile int size;

    void add(PendingReservation pending) {
        waiting.add(pending);
        size = waiting.size();
    }

    /** Returns the number of waiting requests. Thread-safe. */
    int size() {
        return size;
    }

    /** Returns the tokens that all waiting requests need together. */
    long totalTokens() {
        return waiting.stream().mapToLong(PendingReservation::tokens).sum();
    }

    /** Returns the tokens that the smallest waiting request needs, or 0 if none waits. */
    long smallestRequest() {
        return waiting.stream().mapToLong(PendingReservation::tokens).min().orElse(0);
    }

    /**
     * Serves every request that the balance covers. A large request does not block smaller ones behind it, so that the
     * last tokens of a budget can be used.
     */
    void serve(Allotment allotment) {
        for (PendingReservation pending : List.copyOf(waiting)) {
            Optional<Reservation> reservation = allotment.reserve(pending.tokens());
            if (reservation.isPresent()) {
                waiting.remove(pending);
                if (!pending.answer().complete(Result.ok(reservation.get()))) {
                    allotment.settle(reservation.get(), 0);
                }
            }
        }
        size = waiting.size();
    }

    /** Refuses the requests for which the function returns a refusal. Returns how many were refused. */
    int refuse(Function<PendingReservation, Optional<Refusal>> decision) {
        int before = waiting.size();
        for (PendingReservation pending : List.copyOf(waiting)) {
            decision.apply(pending).ifPresent(refusal -> {
                waiting.remove(pending);
                pending.answer().complete(Result.refused(refusal));
            });
        }
        size = waiting.size();
        return before - size;
    }
}
