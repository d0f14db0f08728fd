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
 * Appends the bills of one incarnation to its ledger, with one write in flight. Thread-safe.
 *
 * <pre>{@code
 * writer.add(bill);
 * writer.nextWrite().ifPresent(write -> create(write));
 * // on success writer.onApplied(), on 412 writer.onConflict(stored), without an answer writer.onUnknownOutcome()
 * }</pre>
 */
public final class LedgerWriter {
    private final String incarnation;
    private final Supplier<String> batchIds;
    private final int maxRecords;
    private final Map<String, Bill> pending = new LinkedHashMap<>();
    /** Requests taken over from this ledger, with the number of the takeover. Never forgotten: the bill may be late. */
    private final Map<String, Long> takenOver = new HashMap<>();
    /** Requests that were taken back, with the number up to which takeovers in this ledger no longer count. */
    private final Map<String, Long> takenBack = new HashMap<>();
    /** Requests billed here after a takeover, to bill each once when two takeovers of this incarnation overlap. */
    private final Set<String> billedByTakeover = new HashSet<>();

    private long sequence = 1;
    private @Nullable LedgerBatch inFlight;
    private boolean awaitingAnswer;

    /** Creates a writer whose batches get ids from the given source and have at most the given number of records. */
    public LedgerWriter(String incarnation, Supplier<String> batchIds, int maxRecords) {
        this.incarnation = incarnation;
        this.batchIds = batchIds;
        this.maxRecords = maxRecords;
    }

    /** Adds a bill of an own request. Returns false if another incarnation took over the request. */
    public synchronized boolean add(Bill bill) {
        if (takenOver.containsKey(bill.requestId())) {
            return false;
        }
        pending.putIfAbsent(bill.requestId(), bill);
        return true;
    }

    /**
     * Adds a bill that a {@link TakeoverProcess} granted to this incarnation, unless the request was billed here
     * before. Returns false if the request was taken over again in the meantime.
     */
    public synchronized boolean addTakenOver(Bill bill, TakeoverStep.Granted grant) {
        String id = bill.requestId();
        if (takenOver.getOrDefault(id, 0L) > grant.ownSequence()) {
            return false;
        }
        takenOver.remove(id);
        takenBack.merge(id, grant.ownSequence(), Math::max);
        if (billedByTakeover.add(id)) {
            pending.putIfAbsent(id, bill);
        }
        return true;
    }

    /** Returns the next write, unless one is in flight or there is nothing to write. */
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

    /** The write in flight was applied. */
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

    /** The write in flight was refused because its number holds the given batch. */
    public synchronized LedgerWriteResult onConflict(LedgerBatch stored) {
        if (stored.batch().equals(requireInFlight().batch())) {
            return onApplied();
        }
        List<Bill> dropped = new ArrayList<>();
        for (LedgerRecord entry : stored.records()) {
            if (entry instanceof Takeover takeover && sequence > takenBack.getOrDefault(takeover.requestId(), 0L)) {
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

    /** The outcome of the write in flight is unknown; {@link #nextWrite} returns the same write again. */
    public synchronized void onUnknownOutcome() {
        requireInFlight();
        awaitingAnswer = false;
    }

    /** Returns the number of bills that are not known to be stored. */
    public synchronized int pending() {
        return pending.size();
    }

    /** Returns the number of the next batch. */
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
            throw new IllegalStateException("No write of ledger " + incarnation + " is in flight");
        }
        return batch;
    }
}
