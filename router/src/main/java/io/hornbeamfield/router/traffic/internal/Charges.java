package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.budget.Reservation;
import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import io.hornbeamfield.core.ledger.LedgerRequestId;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Settles the reservations of one request and bills the total once. Confined to the executor of the request. */
final class Charges {
    private final TrafficContext context;
    private final CallerRequest request;
    private long billed;

    Charges(TrafficContext context, CallerRequest request) {
        this.context = context;
        this.request = request;
    }

    /** Settles and bills the same number of tokens for one attempt. */
    void settle(Reservation reservation, long tokens) {
        settle(reservation, tokens, tokens);
    }

    /** Settles the reservation of one attempt. Usage that the engine reports above the reservation is not charged. */
    void settle(Reservation reservation, long spentTokens, long billedTokens) {
        if (spentTokens > reservation.tokens()) {
            context.counters().count("usageAboveReservation");
        }
        context.budgets().settle(reservation, Math.min(spentTokens, reservation.tokens()));
        billed += Math.min(billedTokens, reservation.tokens());
    }

    /**
     * Bills the request. The future completes when the bill is stored, when storing it failed, or after
     * {@code billWaitMs} of the preset.
     */
    CompletableFuture<Void> bill(String status) {
        if (billed == 0) {
            return CompletableFuture.completedFuture(null);
        }
        String id = new LedgerRequestId(request.key(), request.workspace()).text();
        Bill bill = new Bill(
                id,
                request.workspace(),
                request.budget(),
                billed,
                request.work().kind(),
                status);
        String owner = request.key().owner();
        Optional<String> foreign = owner.equals(context.incarnation()) ? Optional.empty() : Optional.of(owner);
        return context.billing()
                .bill(bill, foreign)
                .copy()
                .completeOnTimeout(null, context.preset().billWaitMs(), TimeUnit.MILLISECONDS)
                .exceptionally(failure -> {
                    context.counters().count("billFailed");
                    return null;
                });
    }
}
