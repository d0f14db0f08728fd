package io.hornbeamfield.core.ledger;

import java.util.List;

/** One create-only object of a ledger: the incarnation that wrote it, its unique id and its records. */
public record LedgerBatch(String writer, String batch, List<LedgerRecord> records) {
    public LedgerBatch {
        records = List.copyOf(records);
    }
}
