package io.hornbeamfield.router.traffic;

import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import io.hornbeamfield.router.BillingService;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/** In-memory billing; a test can delay the confirmation of bills. */
final class FakeBilling implements BillingService {
    final List<Bill> bills = new CopyOnWriteArrayList<>();
    final List<String> takenOverFrom = new CopyOnWriteArrayList<>();
    final AtomicBoolean failsNextBill = new AtomicBoolean();
    volatile CompletableFuture<Void> confirmation = CompletableFuture.completedFuture(null);

    @Override
    public CompletableFuture<Void> bill(Bill bill, Optional<String> foreignOwner) {
        if (failsNextBill.compareAndSet(true, false)) {
            throw new IllegalStateException("Injected billing fault.");
        }
        bills.add(bill);
        foreignOwner.ifPresent(takenOverFrom::add);
        return confirmation;
    }
}
