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

/** The mechanisms that a router model relies on; a test overrides one of them with a faulty variant. */
class Mechanisms {
    /** A planned update was sent and is not confirmed. */
    void sent(Allotment allotment, BudgetUpdate update, long version) {}

    Optional<BudgetUpdate> planReturn(Allotment allotment, String self, BudgetRecord seen, long tokens) {
        return allotment.planReturn(seen, tokens);
    }

    Optional<BudgetUpdate> planClose(Allotment allotment, String self, BudgetRecord seen) {
        return allotment.planClose(seen);
    }

    /** The platform confirmed a return. */
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

    /** The scope in which the registry of a router looks up a key. */
    String scope(RequestKey key, int earlierRefusals) {
        return "w";
    }

    boolean followsUpDroppedBills() {
        return true;
    }

    /** What an operator counts as used when it releases the entry of a router that is gone. */
    long released(HolderEntry real, HolderEntry recorded) {
        return real.spent() + real.sentOut() - recorded.sentOut();
    }
}
