package io.hornbeamfield.core.ledger;

import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import io.hornbeamfield.core.ledger.LedgerRecord.Takeover;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Determines whether this incarnation may bill a request whose key another incarnation owns. Follows the chain of
 * takeover records from the owner's ledger to its end and appends a takeover record there. Not thread-safe.
 *
 * <pre>{@code
 * TakeoverProcess process = new TakeoverProcess(requestId, owner, self, batchIds);
 * while (process.step() instanceof TakeoverStep.Read read) {
 *     process.onRead(list(read.ledger(), read.afterSequence()), false);
 * }
 * }</pre>
 */
public final class TakeoverProcess {
    private final String requestId;
    private final String self;
    private final LedgerBatch takeover;
    /**
     * Sequence number of the last batch read from each ledger. A chain can return to a ledger when the request is taken
     * back; reading then continues after the takeover record that was followed before.
     */
    private final Map<String, Long> lastRead = new HashMap<>();

    private long ownSequence;
    private String ledger;
    private TakeoverStep step;

    /** Creates a process that starts at the ledger of the owner. */
    public TakeoverProcess(String requestId, String owner, String self, Supplier<String> batchIds) {
        this.requestId = requestId;
        this.self = self;
        this.takeover = new LedgerBatch(self, batchIds.get(), List.of(new Takeover(requestId, self)));
        this.ledger = owner;
        this.step = new TakeoverStep.Read(owner, 0);
    }

    /** Returns the next step. */
    public TakeoverStep step() {
        return step;
    }

    /**
     * Processes the result of a {@link TakeoverStep.Read}: consecutive batches after the requested sequence number.
     * {@code more} states that the list was truncated.
     */
    public void onRead(List<LedgerBatch> batches, boolean more) {
        String currentLedger = ledger;
        for (LedgerBatch batch : batches) {
            if (processBatch(batch) || !ledger.equals(currentLedger)) {
                return;
            }
        }
        if (more) {
            step = new TakeoverStep.Read(ledger, lastReadSequence());
        } else if (ledger.equals(self)) {
            step = new TakeoverStep.Granted(ownSequence);
        } else {
            step = new TakeoverStep.Create(new PendingWrite(ledger, lastReadSequence() + 1, takeover));
        }
    }

    /** Reports that the takeover batch was created. */
    public void onApplied() {
        step = new TakeoverStep.Granted(ownSequence);
    }

    /** Reports that the sequence number of the takeover batch already holds the given batch. */
    public void onConflict(LedgerBatch stored) {
        if (stored.batch().equals(takeover.batch())) {
            onApplied();
            return;
        }
        String currentLedger = ledger;
        if (!processBatch(stored) && ledger.equals(currentLedger)) {
            step = new TakeoverStep.Read(ledger, lastReadSequence());
        }
    }

    private long lastReadSequence() {
        return lastRead.getOrDefault(ledger, 0L);
    }

    /** Processes the next batch of the current ledger and returns whether it ended the process. */
    private boolean processBatch(LedgerBatch batch) {
        long sequence = lastReadSequence() + 1;
        lastRead.put(ledger, sequence);
        for (LedgerRecord entry : batch.records()) {
            if (!entry.requestId().equals(requestId)) {
                continue;
            }
            if (entry instanceof Bill) {
                step = new TakeoverStep.AlreadyBilled(ledger);
                return true;
            }
            if (entry instanceof Takeover next) {
                if (ledger.equals(self)) {
                    ownSequence = sequence;
                }
                ledger = next.by();
                step = new TakeoverStep.Read(ledger, lastReadSequence());
                return false;
            }
        }
        return false;
    }
}
