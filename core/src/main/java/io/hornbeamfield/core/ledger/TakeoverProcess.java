package io.hornbeamfield.core.ledger;

import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import io.hornbeamfield.core.ledger.LedgerRecord.Takeover;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Finds out whether this incarnation may bill a request whose key names another incarnation. It follows the chain of
 * takeovers from the owner's ledger to its end and appends a takeover record there. Not thread-safe.
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
     * Last number read of each ledger. A chain can come back to a ledger after the request was taken back; reading goes
     * on behind the record that was followed before.
     */
    private final Map<String, Long> positions = new HashMap<>();

    private long ownSequence;
    private String ledger;
    private TakeoverStep step;

    /** Starts at the ledger of the incarnation that the key names. */
    public TakeoverProcess(String requestId, String owner, String self, Supplier<String> batchIds) {
        this.requestId = requestId;
        this.self = self;
        this.takeover = new LedgerBatch(self, batchIds.get(), List.of(new Takeover(requestId, self)));
        this.ledger = owner;
        this.step = new TakeoverStep.Read(owner, 0);
    }

    /** Returns what to do next. */
    public TakeoverStep step() {
        return step;
    }

    /** Passes the batches that follow the number asked for, without gaps. Set {@code more} if the list was cut. */
    public void onRead(List<LedgerBatch> batches, boolean more) {
        String reading = ledger;
        for (LedgerBatch batch : batches) {
            if (accept(batch) || !ledger.equals(reading)) {
                return;
            }
        }
        if (more) {
            step = new TakeoverStep.Read(ledger, position());
        } else if (ledger.equals(self)) {
            step = new TakeoverStep.Granted(ownSequence);
        } else {
            step = new TakeoverStep.Create(new PendingWrite(ledger, position() + 1, takeover));
        }
    }

    /** The takeover batch was created. */
    public void onApplied() {
        step = new TakeoverStep.Granted(ownSequence);
    }

    /** The number of the takeover batch holds the given batch already. */
    public void onConflict(LedgerBatch stored) {
        if (stored.batch().equals(takeover.batch())) {
            onApplied();
            return;
        }
        String reading = ledger;
        if (!accept(stored) && ledger.equals(reading)) {
            step = new TakeoverStep.Read(ledger, position());
        }
    }

    private long position() {
        return positions.getOrDefault(ledger, 0L);
    }

    /** Takes note of the next batch of the current ledger and returns whether the process ended. */
    private boolean accept(LedgerBatch batch) {
        long sequence = position() + 1;
        positions.put(ledger, sequence);
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
                step = new TakeoverStep.Read(ledger, position());
                return false;
            }
        }
        return false;
    }
}
