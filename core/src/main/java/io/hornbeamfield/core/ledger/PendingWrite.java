package io.hornbeamfield.core.ledger;

import java.util.Locale;

/** A batch to create at a number of an incarnation's ledger, on the condition that this number is unused. */
public record PendingWrite(String ledger, long sequence, LedgerBatch batch) {

    /** Returns the key of the platform object. */
    public String objectKey() {
        return objectKey(ledger, sequence);
    }

    /** Returns the key of the platform object for a number of a ledger. */
    public static String objectKey(String ledger, long sequence) {
        return String.format(Locale.ROOT, "ledger/%s/%08d", ledger, sequence);
    }
}
