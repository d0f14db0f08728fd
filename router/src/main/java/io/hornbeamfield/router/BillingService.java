package io.hornbeamfield.router;

import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Records charges in the ledger. Thread-safe. */
public interface BillingService {
    /**
     * Bills a request once. {@code foreignOwner} is the incarnation that the key of the request names, if it is not
     * this one; the bill is then written only after the ledger of that incarnation granted the takeover. The future
     * completes when the bill is stored, or when the request turns out to be billed already.
     */
    CompletableFuture<Void> bill(Bill bill, Optional<String> foreignOwner);
}
