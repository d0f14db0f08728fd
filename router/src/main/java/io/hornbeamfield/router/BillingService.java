package io.hornbeamfield.router;

import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Records charges in the ledger. Callable from any thread. */
public interface BillingService {
    /**
     * Bills a request once. When the key of the request names another incarnation, that incarnation is given, and the
     * bill is written only after its ledger granted the takeover. The future completes when the bill is stored, or when
     * it turned out that the request is already billed.
     */
    CompletableFuture<Void> bill(Bill bill, Optional<String> foreignOwner);
}
