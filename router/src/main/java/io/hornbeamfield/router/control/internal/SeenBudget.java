package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.budget.Allotment;
import io.hornbeamfield.core.budget.BudgetRecord;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.platform.VersionedValue;
import java.time.Instant;

/** A budget record as the platform confirmed it. */
record SeenBudget(BudgetRecord record, long version, Instant at) {
    static final String PREFIX = "budgets/";

    static SeenBudget of(VersionedValue value, Instant at) {
        return new SeenBudget(Json.read(value.value(), BudgetRecord.class), value.version(), at);
    }

    /** Returns whether, by the last written entries, all tokens that are not free are spent. */
    boolean isHeldByNobody(Allotment own, String incarnation) {
        long heldByOthers = record.totalHeld() - record.holder(incarnation).held();
        return heldByOthers <= 0 && own.reserved() == 0 && !own.hasUnconfirmedChanges();
    }
}
