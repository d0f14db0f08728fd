package io.hornbeamfield.core.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import io.hornbeamfield.core.ledger.LedgerRecord.Takeover;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests invariant P2 in the writer: a bill is stored once, and not at all if another incarnation bills the request. */
class LedgerWriterTest {
    private final AtomicInteger ids = new AtomicInteger();
    private final LedgerWriter writer = new LedgerWriter("r1-00000001", () -> "batch" + ids.incrementAndGet(), 2);

    private static Bill bill(String requestId) {
        return new Bill(requestId, "w", "w", 10, "model", "complete");
    }

    private static LedgerBatch takeover(String requestId) {
        return new LedgerBatch("r2-00000002", "other", List.of(new Takeover(requestId, "r2-00000002")));
    }

    private PendingWrite next() {
        return writer.nextWrite().orElseThrow();
    }

    @Test
    void billsAreWrittenInNumberedBatchesWithOneInFlight() {
        List.of("a", "b", "c").forEach(id -> writer.add(bill(id)));
        PendingWrite first = next();
        assertThat(first.objectKey()).isEqualTo("ledger/r1-00000001/00000001");
        assertThat(writer.nextWrite()).isEmpty();
        assertThat(writer.onApplied().stored()).extracting(Bill::requestId).containsExactly("a", "b");
        assertThat(next().sequence()).isEqualTo(2);
        writer.onApplied();
        assertThat(writer.nextWrite()).isEmpty();
    }

    @Test
    void aLostAnswerRepeatsTheSameBatchAndItsOwnConflictMeansStored() {
        writer.add(bill("a"));
        PendingWrite lost = next();
        writer.onUnknownOutcome();
        writer.add(bill("b"));
        PendingWrite repeated = next();
        assertThat(repeated).isEqualTo(lost);
        assertThat(writer.onConflict(lost.batch()).stored()).containsExactly(bill("a"));
        assertThat(next().batch().records()).containsExactly(bill("b"));
    }

    @Test
    void aTakeoverDropsTheBillAndTheRestGoesToTheNextNumber() {
        writer.add(bill("a"));
        writer.add(bill("b"));
        next();
        LedgerWriteResult settled = writer.onConflict(takeover("a"));
        assertThat(settled.takenOver()).containsExactly(bill("a"));
        assertThat(settled.stored()).isEmpty();
        assertThat(next()).satisfies(write -> {
            assertThat(write.sequence()).isEqualTo(2);
            assertThat(write.batch().records()).containsExactly(bill("b"));
        });
    }

    @Test
    void aRequestThatFinishesAfterItsTakeoverIsNotBilled() {
        writer.add(bill("b"));
        next();
        writer.onConflict(takeover("a"));
        assertThat(writer.add(bill("a"))).isFalse();
    }

    @Test
    void aRequestThatWasTakenBackIsBilledOnce() {
        writer.add(bill("a"));
        next();
        writer.onConflict(takeover("a"));
        assertThat(writer.addTakenOver(bill("a"), new TakeoverStep.Granted(1))).isTrue();
        next();
        writer.onApplied();
        assertThat(writer.addTakenOver(bill("a"), new TakeoverStep.Granted(1))).isTrue();
        assertThat(writer.nextWrite()).isEmpty();
    }

    @Test
    void aTakeoverThatWasFollowedBeforeTheWriterMetItDoesNotDropTheBill() {
        writer.addTakenOver(bill("a"), new TakeoverStep.Granted(1));
        next();
        assertThat(writer.onConflict(takeover("a")).takenOver()).isEmpty();
        next();
        assertThat(writer.onConflict(takeover("a")).takenOver()).containsExactly(bill("a"));
        assertThat(writer.addTakenOver(bill("a"), new TakeoverStep.Granted(1))).isFalse();
    }
}
