package io.hornbeamfield.core.ledger;

import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import io.hornbeamfield.core.ledger.LedgerRecord.Takeover;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Appends the bills of one incarnation to its ledger in batches, with at most one write in flight. Thread-safe.
 *
 * <pre>{@code
 * writer.add(bill);
 * writer.nextWrite().ifPresent(write -> create(write));
 * // on success: writer.onApplied(); on 412: writer.onConflict(stored); without a response: writer.onUnknownOutcome()
 * }</pre>
 */
public final class LedgerWriter {
    private final String incarnation;
    private final Supplier<String> batchIds;
    private final int maxRecords;
    private final Map<String, Bill> pending = new LinkedHashMap<>();
    /**
     * Sequence number of the latest takeover of each request that was taken over from this ledger. Never evicted,
     * because the bill of such a request may be added at any later time.
     */
    private final Map<String, Long> takenOver = new HashMap<>();
    /** Sequence number, for each request that was taken back, up to which takeovers in this ledger are superseded. */
    private final Map<String, Long> supersededUpTo = new HashMap<>();
    /**
     * Requests billed here after a takeover. Prevents double billing when two takeovers by this incarnation overlap.
     */
    private final Set<String> billedByTakeover = new HashSet<>();

    private long sequence = 1;
    private @Nullable LedgerBatch inFlight;
    private boolean awaitingAnswer;

    /** Creates a writer for batches of at most {@code maxRecords} records, with ids from {@code batchIds}. */
    public LedgerWriter(String incarnation, Supplier<String> batchIds, int maxRecords) {
        this.incarnation = incarnation;
        this.batchIds = batchIds;
        this.maxRecords = maxRecords;
    }

    /**
     * Adds the bill of a request that this incarnation owns. Returns false if another incarnation has taken over the
     * request.
     */
    public synchronized boolean add(Bill bill) {
        if (takenOver.containsKey(bill.requestId())) {
            return false;
        }
        pending.putIfAbsent(bill.requestId(), bill);
        return true;
    }

    /**
     * Adds the bill of a request that a {@link TakeoverProcess} granted to this incarnation, unless it was already
     * added after an earlier takeover. Returns false if another incarnation has since taken over the request.
     */
    public synchronized boolean addTakenOver(Bill bill, TakeoverStep.Granted grant) {
        String id = bill.requestId();
        if (takenOver.getOrDefault(id, 0L) > grant.ownSequence()) {
            return false;
        }
        takenOver.remove(id);
        supersededUpTo.merge(id, grant.ownSequence(), Math::max);
        if (billedByTakeover.add(id)) {
            pending.putIfAbsent(id, bill);
        }
        return true;
    }

    /** Returns the next write, or empty if a write is in flight or there is nothing to write. */
    public synchronized Optional<PendingWrite> nextWrite() {
        if (awaitingAnswer || (inFlight == null && pending.isEmpty())) {
            return Optional.empty();
        }
        if (inFlight == null) {
            List<LedgerRecord> records =
                    new ArrayList<>(pending.values().stream().limit(maxRecords).toList());
            inFlight = new LedgerBatch(incarnation, batchIds.get(), records);
        }
        awaitingAnswer = true;
        return Optional.of(new PendingWrite(incarnation, sequence, inFlight));
    }

    /** Reports that the write in flight was applied. */
    public synchronized LedgerWriteResult onApplied() {
        LedgerBatch batch = requireInFlight();
        List<Bill> stored = new ArrayList<>();
        for (LedgerRecord entry : batch.records()) {
            Bill bill = pending.remove(entry.requestId());
            if (bill != null) {
                stored.add(bill);
            }
        }
        advance();
        return new LedgerWriteResult(stored, List.of());
    }

    /** Reports that the write in flight was rejected because its sequence number already holds the given batch. */
    public synchronized LedgerWriteResult onConflict(LedgerBatch stored) {
        if (stored.batch().equals(requireInFlight().batch())) {
            return onApplied();
        }
        List<Bill> dropped = new ArrayList<>();
        for (LedgerRecord entry : stored.records()) {
            if (entry instanceof Takeover takeover
                    && sequence > supersededUpTo.getOrDefault(takeover.requestId(), 0L)) {
                takenOver.put(takeover.requestId(), sequence);
                billedByTakeover.remove(takeover.requestId());
                Bill bill = pending.remove(takeover.requestId());
                if (bill != null) {
                    dropped.add(bill);
                }
            }
        }
        advance();
        return new LedgerWriteResult(List.of(), dropped);
    }

    /** Reports that the outcome of the write in flight is unknown. {@link #nextWrite} returns the same write again. */
    public synchronized void onUnknownOutcome() {
        requireInFlight();
        awaitingAnswer = false;
    }

    /** Returns the number of bills whose storage is not confirmed. */
    public synchronized int pending() {
        return pending.size();
    }

    /** Returns the sequence number of the next batch. */
    public synchronized long sequence() {
        return sequence;
    }

    private void advance() {
        sequence++;
        inFlight = null;
        awaitingAnswer = false;
    }

    private LedgerBatch requireInFlight() {
        LedgerBatch batch = inFlight;
        if (batch == null) {
            throw new IllegalStateException(
                    "No write in flight for ledger " + incarnation + " at sequence " + sequence);
        }
        return batch;
    }
}
