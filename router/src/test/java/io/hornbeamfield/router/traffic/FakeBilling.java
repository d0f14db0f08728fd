package io.hornbeamfield.router.traffic;

import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import io.hornbeamfield.router.BillingService;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

/** Keeps bills in memory; a test can hold back their confirmation. */
final class FakeBilling implements BillingService {
    final List<Bill> bills = new CopyOnWriteArrayList<>();
    final List<String> takenOverFrom = new CopyOnWriteArrayList<>();
    volatile CompletableFuture<Void> stored = CompletableFuture.completedFuture(null);

    @Override
    public CompletableFuture<Void> bill(Bill bill, Optional<String> foreignOwner) {
        bills.add(bill);
        foreignOwner.ifPresent(takenOverFrom::add);
        return stored;
    }
}
