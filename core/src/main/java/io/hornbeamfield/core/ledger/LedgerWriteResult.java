package io.hornbeamfield.core.ledger;

import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import java.util.List;

/**
 * Bills that left the writer: those that are stored, and those that were dropped because another incarnation took over
 * the billing of their requests. For a dropped bill, run a {@link TakeoverProcess} after a delay: it finds the bill of
 * the other incarnation, or takes the request back if that incarnation died before it billed.
 */
public record LedgerWriteResult(List<Bill> stored, List<Bill> takenOver) {
    public LedgerWriteResult {
        stored = List.copyOf(stored);
        takenOver = List.copyOf(takenOver);
    }
}
