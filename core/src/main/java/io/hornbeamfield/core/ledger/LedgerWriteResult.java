package io.hornbeamfield.core.ledger;

import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import java.util.List;

/**
 * The bills that a write removed from the pending bills of a {@link LedgerWriter}: those now stored, and those dropped
 * because another incarnation has taken over the billing of their requests. The caller runs a {@link TakeoverProcess}
 * for each dropped bill after a delay. It finds the bill of the other incarnation, or takes the request back if that
 * incarnation crashed before billing it.
 */
public record LedgerWriteResult(List<Bill> stored, List<Bill> takenOver) {
    public LedgerWriteResult {
        stored = List.copyOf(stored);
        takenOver = List.copyOf(takenOver);
    }
}
