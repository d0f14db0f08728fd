package io.hornbeamfield.router.traffic;

import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import io.hornbeamfield.router.BillingService;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/** Keeps bills in memory; a test can hold back their confirmation. */
final class FakeBilling implements BillingService {
    final List<Bill> bills = new CopyOnWriteArrayList<>();
    final List<String> takenOverFrom = new CopyOnWriteArrayList<>();
    final AtomicBoolean throwsOnce = new AtomicBoolean();
    volatile CompletableFuture<Void> stored = CompletableFuture.completedFuture(null);

    @Override
    public CompletableFuture<Void> bill(Bill bill, Optional<String> foreignOwner) {
        if (throwsOnce.compareAndSet(true, false)) {
            throw new IllegalStateException("A fault that a test asked for.");
        }
        bills.add(bill);
        foreignOwner.ifPresent(takenOverFrom::add);
        return stored;
    }
}
