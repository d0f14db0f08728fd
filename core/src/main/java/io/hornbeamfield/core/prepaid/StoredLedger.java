package io.hornbeamfield.core.prepaid;

import io.hornbeamfield.core.store.StoreRevision;

/**
 * A ledger as it was read from the store, or stored by a write.
 *
 * @param era the era of the store's content at that time, 0 if the store names none
 */
public record StoredLedger(PrepaidLedger ledger, StoreRevision revision, long era) {
    /** Returns a ledger in a store that names no eras. */
    public static StoredLedger atRevision(PrepaidLedger ledger, long number) {
        return new StoredLedger(ledger, new StoreRevision(0, number), 0);
    }

    /**
     * Returns whether the ledger was written in the current era of the store. One that does not name its era was
     * written by an earlier version of this software and counts as current.
     */
    boolean isOfCurrentEra() {
        return ledger.era() == 0 || ledger.era() == era;
    }

    /**
     * Returns the version whose content the ledger includes completely: its own, or that of its basis while holders
     * declare.
     */
    PrepaidLedger.Version version() {
        return ledger.isComplete() ? new PrepaidLedger.Version(ledger.era(), revision.number()) : ledger.basisOrNone();
    }

    /** Returns whether the ledger shows what all holders have taken. */
    boolean isSettled() {
        return isOfCurrentEra() && ledger.isComplete();
    }
}
