package io.hornbeamfield.core.budget;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.budget.Allotment.State;
import io.hornbeamfield.core.budget.BudgetUpdate.Kind;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests invariant P1: an allotment never has more tokens than the budget record has assigned to it. */
class AllotmentTest {
    private final Allotment allotment = new Allotment("plots", "r1-00000001");
    private BudgetRecord record = BudgetRecord.create("plots").withTopUp("first", 1_000);
    private long version = 1;

    private void write(BudgetUpdate update) {
        record = update.record();
        version++;
    }

    private void writeAndObserve(BudgetUpdate update) {
        write(update);
        allotment.observe(record, version);
    }

    private void take(long tokens) {
        writeAndObserve(allotment.planTake(record, tokens).orElseThrow());
    }

    @Test
    void aTakeIsAvailableOnlyAfterItWasConfirmed() {
        BudgetUpdate update = allotment.planTake(record, 300).orElseThrow();
        assertThat(allotment.available()).isZero();
        writeAndObserve(update);
        assertThat(allotment.available()).isEqualTo(300);
        assertThat(record.free()).isEqualTo(700);
    }

    @Test
    void aTakeWhoseAnswerWasLostIsCreditedOnceByLaterReads() {
        write(allotment.planTake(record, 300).orElseThrow());
        allotment.observe(record, version);
        allotment.observe(record, version);
        assertThat(allotment.available()).isEqualTo(300);
    }

    @Test
    void aTakeIsLimitedToWhatIsFree() {
        assertThat(allotment.planTake(record, 5_000).orElseThrow().tokens()).isEqualTo(1_000);
        take(1_000);
        assertThat(allotment.planTake(record, 1)).isEmpty();
    }

    @Test
    void anOutdatedRecordChangesNothingAndIsNoBasisOfAnUpdate() {
        BudgetRecord old = record;
        take(300);
        allotment.observe(old, 1);
        assertThat(allotment.state()).isEqualTo(State.OPEN);
        assertThat(allotment.available()).isEqualTo(300);
        assertThat(allotment.planTake(old, 10)).isEmpty();
        assertThat(allotment.planReturn(old, 10)).isEmpty();
    }

    @Test
    void reservedTokensAreNotAvailableAndUnspentOnesComeBack() {
        take(100);
        Reservation first = allotment.reserve(70).orElseThrow();
        assertThat(allotment.reserve(31)).isEmpty();
        allotment.settle(first, 20);
        allotment.settle(first, 20);
        assertThat(allotment.available()).isEqualTo(80);
        assertThat(allotment.spent()).isEqualTo(20);
    }

    @Test
    void concurrentReservationsNeverExceedWhatIsHeld() {
        take(1_000);
        var granted = new AtomicLong();
        IntStream.range(0, 400)
                .parallel()
                .forEach(i -> allotment.reserve(7).ifPresent(r -> {
                    granted.addAndGet(7);
                    allotment.settle(r, 7);
                }));
        assertThat(granted.get()).isLessThanOrEqualTo(1_000).isGreaterThan(993);
        assertThat(allotment.available()).isBetween(0L, 6L);
    }

    @Test
    void aReturnLeavesTheBalanceBeforeItIsWrittenAndCanBeRepeated() {
        take(300);
        BudgetUpdate lost = allotment.planReturn(record, 100).orElseThrow();
        assertThat(allotment.available()).isEqualTo(200);
        BudgetUpdate repeated = allotment.planReturn(record, 0).orElseThrow();
        assertThat(repeated.record()).isEqualTo(lost.record());
        writeAndObserve(repeated);
        assertThat(record.free()).isEqualTo(800);
        assertThat(allotment.planReturn(record, 0)).isEmpty();
    }

    @Test
    void reservedTokensAreNotReturned() {
        take(300);
        Reservation open = allotment.reserve(250).orElseThrow();
        assertThat(allotment.planReturn(record, 300).orElseThrow().tokens()).isEqualTo(50);
        allotment.settle(open, 250);
        assertThat(allotment.available()).isZero();
    }

    @Test
    void closingWaitsForReservationsAndReturnsTheRest() {
        take(300);
        Reservation open = allotment.reserve(100).orElseThrow();
        assertThat(allotment.planClose(record)).isEmpty();
        assertThat(allotment.reserve(1)).isEmpty();
        assertThat(allotment.planTake(record, 10)).isEmpty();
        allotment.settle(open, 40);
        writeAndObserve(allotment.planClose(record).orElseThrow());
        assertThat(allotment.state()).isEqualTo(State.CLOSED);
        assertThat(record.free()).isEqualTo(960);
        assertThat(record.holders()).isEmpty();
        assertThat(allotment.planClose(record)).isEmpty();
    }

    @Test
    void aRouterThatOnlyReceivedTransfersWritesAnEntryBeforeItFolds() {
        allotment.expectTransfer("t1");
        allotment.receiveTransfer(new TransferGrant("t1", "plots", 50));
        BudgetUpdate entry = allotment.planClose(record).orElseThrow();
        assertThat(entry.kind()).isEqualTo(Kind.CHECKPOINT);
        writeAndObserve(entry);
        BudgetUpdate fold = allotment.planClose(record).orElseThrow();
        assertThat(fold.kind()).isEqualTo(Kind.CLOSE);
        writeAndObserve(fold);
        assertThat(record.free()).isEqualTo(1_050);
        assertThat(allotment.planClose(record)).isEmpty();
    }

    @Test
    void aReleasedHolderStopsWhenItSeesTheRelease() {
        take(300);
        allotment.observe(record.withRelease("r1-00000001", 120), version + 1);
        assertThat(allotment.state()).isEqualTo(State.CLOSED);
        assertThat(allotment.reserve(1)).isEmpty();
    }

    @Test
    void aTransferLeavesTheSenderOnceAndReachesTheReceiverOnce() {
        take(300);
        Allotment receiver = new Allotment("plots", "r2-00000002");
        receiver.expectTransfer("t1");
        TransferGrant grant = allotment.sendTransfer("t1", 100).orElseThrow();
        assertThat(allotment.sendTransfer("t1", 100)).contains(grant);
        assertThat(allotment.available()).isEqualTo(200);
        assertThat(receiver.receiveTransfer(grant)).isTrue();
        assertThat(receiver.receiveTransfer(grant)).isFalse();
        assertThat(receiver.available()).isEqualTo(100);
    }

    @Test
    void aGrantThatWasNotAskedForIsNotCredited() {
        assertThat(allotment.receiveTransfer(new TransferGrant("t9", "plots", 50)))
                .isFalse();
        allotment.expectTransfer("t9");
        assertThat(allotment.receiveTransfer(new TransferGrant("t9", "tools", 50)))
                .isFalse();
        assertThat(allotment.available()).isZero();
    }

    @Test
    void aGrantOlderThanTheMemoryOfIdsIsStranded() {
        for (int i = 0; i <= Allotment.MAX_TRANSFER_IDS; i++) {
            allotment.expectTransfer("t" + i);
        }
        assertThat(allotment.receiveTransfer(new TransferGrant("t0", "plots", 5)))
                .isFalse();
        assertThat(allotment.receiveTransfer(new TransferGrant("t1", "plots", 5)))
                .isTrue();
    }
}
