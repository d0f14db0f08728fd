package io.hornbeamfield.core.search;

import io.hornbeamfield.core.budget.Allotment;
import io.hornbeamfield.core.budget.BudgetRecord;
import io.hornbeamfield.core.budget.BudgetUpdate;
import io.hornbeamfield.core.budget.HolderEntry;
import io.hornbeamfield.core.budget.TransferGrant;
import io.hornbeamfield.core.identity.RequestKey;
import io.hornbeamfield.core.ledger.LedgerBatch;
import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import io.hornbeamfield.core.ledger.LedgerWriteResult;
import io.hornbeamfield.core.ledger.LedgerWriter;
import io.hornbeamfield.core.ledger.TakeoverStep;
import java.util.Optional;

/** Decisions that a {@link RouterModel} delegates to production code. Tests override a single one to inject a fault. */
class Mechanisms {
    /** Called when a planned update was sent and is not yet confirmed. */
    void sent(Allotment allotment, BudgetUpdate update, long version) {}

    Optional<BudgetUpdate> planReturn(Allotment allotment, String self, BudgetRecord seen, long tokens) {
        return allotment.planReturn(seen, tokens);
    }

    Optional<BudgetUpdate> planClose(Allotment allotment, String self, BudgetRecord seen) {
        return allotment.planClose(seen);
    }

    /** Called when the platform confirmed a return. */
    void returned(Allotment allotment, BudgetUpdate update) {}

    boolean receive(Allotment allotment, TransferGrant grant) {
        return allotment.receiveTransfer(grant);
    }

    LedgerWriteResult conflict(LedgerWriter writer, LedgerBatch stored) {
        return writer.onConflict(stored);
    }

    boolean takesOverBeforeBilling() {
        return true;
    }

    boolean billTakenOver(LedgerWriter writer, Bill bill, TakeoverStep.Granted grant) {
        return writer.addTakenOver(bill, grant);
    }

    /** Returns the workspace under which the registry of a router looks up a key. */
    String scope(RequestKey key, int earlierRefusals) {
        return "w";
    }

    boolean followsUpDroppedBills() {
        return true;
    }

    /** Returns the tokens that an operator counts as used when releasing the entry of a crashed router. */
    long released(HolderEntry real, HolderEntry recorded) {
        return real.spent() + real.sentOut() - recorded.sentOut();
    }
}
