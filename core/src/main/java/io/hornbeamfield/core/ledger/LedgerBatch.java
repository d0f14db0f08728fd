package io.hornbeamfield.core.ledger;

import java.util.List;

/** A create-only object of a ledger: the incarnation that wrote it, its unique batch id and its records. */
public record LedgerBatch(String writer, String batch, List<LedgerRecord> records) {
    public LedgerBatch {
        records = List.copyOf(records);
    }
}
