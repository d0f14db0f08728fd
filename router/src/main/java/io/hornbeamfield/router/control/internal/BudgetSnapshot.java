package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.budget.Allotment;
import io.hornbeamfield.core.budget.BudgetRecord;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.platform.VersionedValue;
import java.time.Instant;

/** A budget record as last confirmed by the platform, with its version and the time of the confirmation. */
record BudgetSnapshot(BudgetRecord record, long version, Instant observedAt) {
    static final String PREFIX = "budgets/";

    static BudgetSnapshot of(VersionedValue value, Instant observedAt) {
        return new BudgetSnapshot(Json.read(value.value(), BudgetRecord.class), value.version(), observedAt);
    }

    /**
     * Returns whether no router holds tokens, by the last written holder entries: all tokens that are not free are
     * spent.
     */
    boolean isFullySpent(Allotment own, String incarnation) {
        long heldByOthers = record.totalHeld() - record.holder(incarnation).held();
        return heldByOthers <= 0 && own.reserved() == 0 && !own.hasUnconfirmedChanges();
    }
}
