package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.budget.Allotment;
import io.hornbeamfield.core.budget.BudgetRecord;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.platform.VersionedValue;
import java.time.Instant;

/** A budget record as the platform confirmed it. */
record BudgetSnapshot(BudgetRecord record, long version, Instant observedAt) {
    static final String PREFIX = "budgets/";

    static BudgetSnapshot of(VersionedValue value, Instant observedAt) {
        return new BudgetSnapshot(Json.read(value.value(), BudgetRecord.class), value.version(), observedAt);
    }

    /** Returns whether, by the last written entries, all tokens that are not free are spent. */
    boolean isFullySpent(Allotment own, String incarnation) {
        long heldByOthers = record.totalHeld() - record.holder(incarnation).held();
        return heldByOthers <= 0 && own.reserved() == 0 && !own.hasUnconfirmedChanges();
    }
}
