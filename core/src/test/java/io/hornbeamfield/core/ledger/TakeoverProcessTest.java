package io.hornbeamfield.core.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import io.hornbeamfield.core.ledger.LedgerRecord.Takeover;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests invariant P2 across incarnations: the chain of takeovers of a request leads to a single bill. */
class TakeoverProcessTest {
    private final TakeoverProcess process = new TakeoverProcess("q", "a", "c", () -> "mine");

    private static LedgerBatch bills(String writer, String requestId) {
        return new LedgerBatch(
                writer, writer + requestId, List.of(new Bill(requestId, "w", "w", 10, "model", "complete")));
    }

    private static LedgerBatch takeover(String by) {
        return new LedgerBatch(by, "take" + by, List.of(new Takeover("q", by)));
    }

    private PendingWrite create() {
        return ((TakeoverStep.Create) process.step()).write();
    }

    @Test
    void aBillInTheOwnersLedgerEndsTheProcess() {
        assertThat(process.step()).isEqualTo(new TakeoverStep.Read("a", 0));
        process.onRead(List.of(bills("a", "p"), bills("a", "q")), false);
        assertThat(process.step()).isEqualTo(new TakeoverStep.AlreadyBilled("a"));
    }

    @Test
    void withoutABillTheTakeoverIsAppendedBehindTheLastBatch() {
        process.onRead(List.of(bills("a", "p")), true);
        assertThat(process.step()).isEqualTo(new TakeoverStep.Read("a", 1));
        process.onRead(List.of(bills("a", "o")), false);
        assertThat(create().objectKey()).isEqualTo("ledger/a/00000003");
        process.onApplied();
        assertThat(process.step()).isEqualTo(new TakeoverStep.Granted(0));
    }

    @Test
    void aConflictWithTheOwnersBillEndsTheProcess() {
        process.onRead(List.of(), false);
        process.onConflict(bills("a", "q"));
        assertThat(process.step()).isEqualTo(new TakeoverStep.AlreadyBilled("a"));
    }

    @Test
    void aConflictWithTheOwnBatchMeansThatALostWriteWasApplied() {
        process.onRead(List.of(), false);
        process.onConflict(create().batch());
        assertThat(process.step()).isEqualTo(new TakeoverStep.Granted(0));
    }

    @Test
    void aConflictWithAnotherBatchIsReadFurther() {
        process.onRead(List.of(), false);
        process.onConflict(bills("a", "p"));
        assertThat(process.step()).isEqualTo(new TakeoverStep.Read("a", 1));
    }

    @Test
    void anEarlierTakeoverLeadsToTheLedgerOfItsIncarnation() {
        process.onRead(List.of(takeover("b")), false);
        assertThat(process.step()).isEqualTo(new TakeoverStep.Read("b", 0));
        process.onRead(List.of(bills("b", "p")), false);
        assertThat(create().objectKey()).isEqualTo("ledger/b/00000002");
        process.onConflict(takeover("d"));
        assertThat(process.step()).isEqualTo(new TakeoverStep.Read("d", 0));
    }

    @Test
    void aChainThatComesBackIsReadBehindTheTakeoverThatWasFollowed() {
        process.onRead(List.of(takeover("c")), false);
        process.onRead(List.of(takeover("b")), false);
        process.onRead(List.of(takeover("c")), false);
        assertThat(process.step()).isEqualTo(new TakeoverStep.Read("c", 1));
        process.onRead(List.of(bills("c", "p")), false);
        assertThat(process.step()).isEqualTo(new TakeoverStep.Granted(1));
    }
}
