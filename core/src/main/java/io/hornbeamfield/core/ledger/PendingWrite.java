package io.hornbeamfield.core.ledger;

import java.util.Locale;

/** A batch to create in a ledger on condition that its sequence number is unused. */
public record PendingWrite(String ledger, long sequence, LedgerBatch batch) {

    /** Returns the key of the platform object to create. */
    public String objectKey() {
        return objectKey(ledger, sequence);
    }

    /** Returns the key of the platform object for a sequence number of a ledger. */
    public static String objectKey(String ledger, long sequence) {
        return String.format(Locale.ROOT, "ledger/%s/%08d", ledger, sequence);
    }
}
