package io.hornbeamfield.core.budget;

import io.hornbeamfield.core.budget.BudgetUpdate.Kind;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks the tokens of one budget that one router incarnation may spend. Thread-safe.
 *
 * <p>Takes and returns are conditional updates of the shared {@link BudgetRecord}. The caller writes the planned record
 * on condition that the stored version is still the one it was planned on. It passes every record that the platform
 * confirms (as written, as read, or as returned with a conflict) to {@link #observe} with its version. When the
 * response to a write is lost, the caller reads the record again.
 *
 * <pre>{@code
 * Optional<BudgetUpdate> update = allotment.planTake(seen, 4_000);
 * // write update.record() under the version of seen; on success:
 * allotment.observe(update.record(), newVersion);
 * Optional<Reservation> reservation = allotment.reserve(600);
 * allotment.settle(reservation, 412);
 * }</pre>
 */
public final class Allotment {
    /**
     * Maximum number of transfer ids retained in each direction. The tokens of a grant whose id has been evicted are
     * stranded; they are never credited twice.
     */
    static final int MAX_TRANSFER_IDS = 1024;

    private final String budget;
    private final String incarnation;
    private final Map<Long, Long> reservations = new HashMap<>();
    private final Set<String> expectedTransfers = new LinkedHashSet<>();
    private final Map<String, TransferGrant> sentTransfers = new LinkedHashMap<>();
    private long lastReservationId;
    private long reserved;
    private long taken;
    private long returned;
    private long spent;
    private long sentOut;
    private long receivedIn;
    private HolderEntry confirmed = HolderEntry.NONE;
    private boolean entryConfirmed;
    private long latestVersion;
    private State state = State.OPEN;

    /** Life cycle of an allotment. */
    public enum State {
        /** All operations are allowed. */
        OPEN,
        /** Open reservations may be settled; new takes, reservations and transfers are refused. */
        CLOSING,
        /**
         * The entry of this incarnation has been folded into the record, by its own closing update or by an operator's
         * release.
         */
        CLOSED
    }

    /** Creates an allotment without tokens. */
    public Allotment(String budget, String incarnation) {
        this.budget = budget;
        this.incarnation = incarnation;
    }

    /** Returns the id of the budget. */
    public String budget() {
        return budget;
    }

    /** Reserves tokens, or returns empty if not enough are available. */
    public synchronized Optional<Reservation> reserve(long tokens) {
        if (tokens < 0) {
            throw new IllegalArgumentException("Cannot reserve " + tokens + " tokens");
        }
        if (state != State.OPEN || tokens > available()) {
            return Optional.empty();
        }
        lastReservationId++;
        reservations.put(lastReservationId, tokens);
        reserved += tokens;
        return Optional.of(new Reservation(budget, lastReservationId, tokens));
    }

    /**
     * Ends a reservation and releases its unspent tokens. Settling a reservation a second time has no effect. Tokens
     * that an engine produced beyond the reservation are charged in full, so the available balance may become negative.
     */
    public synchronized void settle(Reservation reservation, long spentTokens) {
        if (spentTokens < 0) {
            throw new IllegalArgumentException("Cannot spend " + spentTokens + " tokens");
        }
        Long tokens = reservations.remove(reservation.id());
        if (tokens != null) {
            reserved -= tokens;
            spent += spentTokens;
        }
    }

    /** Returns the number of tokens that can be reserved now; negative after an overrun. */
    public synchronized long available() {
        return state == State.CLOSED ? 0 : counters(taken).held() - reserved;
    }

    /** Returns the number of tokens reserved for attempts in flight. */
    public synchronized long reserved() {
        return reserved;
    }

    /** Returns the number of tokens spent by settled attempts. */
    public synchronized long spent() {
        return spent;
    }

    /** Returns the current counters of this incarnation as they would be written to the record. */
    public synchronized HolderEntry counters() {
        return counters(taken);
    }

    /** Returns whether this allotment has never taken, received or reserved tokens, as far as is confirmed. */
    public synchronized boolean isUnused() {
        return state == State.OPEN
                && !entryConfirmed
                && reservations.isEmpty()
                && counters(taken).equals(HolderEntry.NONE);
    }

    public synchronized State state() {
        return state;
    }

    /** Returns whether any return or transfer is not yet confirmed in the budget record. */
    public synchronized boolean hasUnconfirmedChanges() {
        return unconfirmedReturn() > 0 || unconfirmedTransfers() > 0;
    }

    /** Returns the number of returned tokens not yet confirmed in the budget record. */
    public synchronized long unconfirmedReturn() {
        return state == State.CLOSED ? 0 : returned - confirmed.returned();
    }

    /** Returns the number of tokens sent and received in transfers not yet confirmed in the budget record. */
    public synchronized long unconfirmedTransfers() {
        return state == State.CLOSED ? 0 : sentOut - confirmed.sentOut() + receivedIn - confirmed.receivedIn();
    }

    /**
     * Plans a take of the given number of tokens, limited by the free balance. Returns empty if nothing can be taken,
     * or if the record is older than one already confirmed.
     */
    public synchronized Optional<BudgetUpdate> planTake(BudgetRecord seen, long tokens) {
        long amount = Math.min(tokens, seen.free());
        if (state != State.OPEN || amount <= 0 || isOutdated(seen)) {
            return Optional.empty();
        }
        HolderEntry entry = counters(seen.holder(incarnation).taken() + amount);
        return Optional.of(new BudgetUpdate(Kind.TAKE, amount, seen.withHolder(incarnation, entry)));
    }

    /**
     * Plans a return of the given number of tokens, limited by the available balance. The tokens are debited
     * immediately, before the update is written. With 0 tokens, the update repeats unconfirmed returns and writes the
     * other counters. Returns empty if there is nothing to write, if the record is older than one already confirmed, or
     * if the allotment is closed.
     */
    public synchronized Optional<BudgetUpdate> planReturn(BudgetRecord seen, long tokens) {
        if (state == State.CLOSED || isOutdated(seen)) {
            return Optional.empty();
        }
        returned += Math.max(0, Math.min(tokens, available()));
        HolderEntry previous = seen.holder(incarnation);
        HolderEntry entry = counters(previous.taken());
        if (entry.equals(previous)) {
            return Optional.empty();
        }
        long amount = returned - previous.returned();
        Kind kind = amount > 0 ? Kind.RETURN : Kind.CHECKPOINT;
        return Optional.of(new BudgetUpdate(kind, amount, seen.withHolder(incarnation, entry)));
    }

    /**
     * Starts closing, and plans the closing update once all reservations are settled. Call it again with newer records
     * until {@link #state} is {@code CLOSED}.
     *
     * <p>An incarnation that has received tokens only through transfers has no entry yet, so it first writes one: when
     * the response to the closing update is lost, only the disappearance of an existing entry proves that the update
     * was applied.
     */
    public synchronized Optional<BudgetUpdate> planClose(BudgetRecord seen) {
        if (state == State.OPEN) {
            state = State.CLOSING;
        }
        HolderEntry entry = counters(seen.holder(incarnation).taken());
        if (!entryConfirmed && !seen.holders().containsKey(incarnation) && entry.equals(HolderEntry.NONE)) {
            state = State.CLOSED;
        }
        if (state == State.CLOSED || reserved > 0 || isOutdated(seen)) {
            return Optional.empty();
        }
        if (!seen.holders().containsKey(incarnation)) {
            return Optional.of(new BudgetUpdate(Kind.CHECKPOINT, 0, seen.withHolder(incarnation, entry)));
        }
        return Optional.of(
                new BudgetUpdate(Kind.CLOSE, Math.max(0, entry.held()), seen.withFolded(incarnation, entry)));
    }

    /**
     * Applies a record that the platform has confirmed. Takes are credited only here, and only by the increase of this
     * incarnation's taken counter, so repeated, late or reordered records have no effect. If a newer record no longer
     * contains the entry of this incarnation, the entry has been folded and the allotment closes.
     */
    public synchronized void observe(BudgetRecord observed, long version) {
        HolderEntry entry = observed.holders().get(incarnation);
        if (entry != null) {
            entryConfirmed = true;
            taken = Math.max(taken, entry.taken());
            confirmed = entry.isAtLeast(confirmed) ? entry : confirmed;
        } else if (entryConfirmed && version > latestVersion) {
            state = State.CLOSED;
        }
        latestVersion = Math.max(latestVersion, version);
    }

    /**
     * Debits tokens for a transfer to another router, limited by the available balance. Idempotent: a repeated request
     * with the same id gets the same grant. Returns empty if nothing can be granted.
     */
    public synchronized Optional<TransferGrant> sendTransfer(String transferId, long tokens) {
        TransferGrant existing = sentTransfers.get(transferId);
        if (existing != null) {
            return Optional.of(existing);
        }
        long amount = Math.min(tokens, available());
        if (state != State.OPEN || amount <= 0) {
            return Optional.empty();
        }
        sentOut += amount;
        TransferGrant grant = new TransferGrant(transferId, budget, amount);
        sentTransfers.put(transferId, grant);
        evictOldest(sentTransfers.keySet());
        return Optional.of(grant);
    }

    /** Registers a transfer id. Must be called before the request with this id is sent, to exactly one peer. */
    public synchronized void expectTransfer(String transferId) {
        expectedTransfers.add(transferId);
        evictOldest(expectedTransfers);
    }

    /**
     * Credits a requested grant at most once and returns whether it was credited. Only ids registered by
     * {@link #expectTransfer} are credited, so that the set of ids can be bounded without crediting a grant twice.
     */
    public synchronized boolean receiveTransfer(TransferGrant grant) {
        if (state != State.OPEN || !grant.budget().equals(budget) || grant.tokens() <= 0) {
            return false;
        }
        if (!expectedTransfers.remove(grant.transferId())) {
            return false;
        }
        receivedIn += grant.tokens();
        return true;
    }

    private HolderEntry counters(long takenTokens) {
        return new HolderEntry(takenTokens, returned, spent, sentOut, receivedIn);
    }

    private boolean isOutdated(BudgetRecord seen) {
        boolean hasEntry = seen.holders().containsKey(incarnation);
        return (entryConfirmed && !hasEntry) || !seen.holder(incarnation).isAtLeast(confirmed);
    }

    private static void evictOldest(Set<String> ids) {
        if (ids.size() > MAX_TRANSFER_IDS) {
            var oldest = ids.iterator();
            oldest.next();
            oldest.remove();
        }
    }
}
