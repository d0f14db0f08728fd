package io.hornbeamfield.core.budget;

import io.hornbeamfield.core.budget.BudgetUpdate.Kind;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The tokens of one budget that one router incarnation may spend. Thread-safe.
 *
 * <p>Take and return are conditional updates of the {@link BudgetRecord}. The caller writes the record of the planned
 * update under the version of the record it was planned on, and passes every record that the platform confirms, whether
 * written, read or answered on a conflict, to {@link #observe} with its version. After a lost answer it reads the
 * record again.
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
    /** Number of transfer ids that are kept in each direction. An older grant is stranded, never credited twice. */
    static final int MAX_TRANSFERS = 1024;

    private final String budget;
    private final String incarnation;
    private final Map<Long, Long> reservations = new HashMap<>();
    private final Set<String> expectedTransfers = new LinkedHashSet<>();
    private final Map<String, TransferGrant> sentTransfers = new LinkedHashMap<>();
    private long lastReservation;
    private long reserved;
    private long taken;
    private long returned;
    private long spent;
    private long sentOut;
    private long receivedIn;
    private HolderEntry recorded = HolderEntry.NONE;
    private boolean entryExists;
    private long newestVersion;
    private State state = State.OPEN;

    /** Life cycle of an allotment. */
    public enum State {
        /** Takes, reserves, transfers and returns. */
        OPEN,
        /** Settles open reservations; takes and reserves nothing any more. */
        CLOSING,
        /** The own entry was folded, by the last own update or by an operator's release. */
        CLOSED
    }

    /** Creates an allotment that holds nothing. */
    public Allotment(String budget, String incarnation) {
        this.budget = budget;
        this.incarnation = incarnation;
    }

    /** Returns the id of the budget. */
    public String budget() {
        return budget;
    }

    /** Sets tokens aside if they are available. */
    public synchronized Optional<Reservation> reserve(long tokens) {
        if (tokens < 0) {
            throw new IllegalArgumentException("Cannot reserve " + tokens + " tokens");
        }
        if (state != State.OPEN || tokens > available()) {
            return Optional.empty();
        }
        lastReservation++;
        reservations.put(lastReservation, tokens);
        reserved += tokens;
        return Optional.of(new Reservation(budget, lastReservation, tokens));
    }

    /**
     * Ends a reservation; the tokens not spent become available again. Settling a reservation twice has no effect. An
     * engine that produced more than was reserved is charged in full, which may make the available balance negative.
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

    /** Returns the tokens that can be reserved now. */
    public synchronized long available() {
        return state == State.CLOSED ? 0 : own(taken).held() - reserved;
    }

    /** Returns the tokens set aside for open attempts. */
    public synchronized long reserved() {
        return reserved;
    }

    /** Returns the tokens spent by settled attempts. */
    public synchronized long spent() {
        return spent;
    }

    /** Returns the own counters as they would be written now. */
    public synchronized HolderEntry counters() {
        return own(taken);
    }

    /** Returns whether nothing was ever taken, received or reserved, as far as is confirmed. */
    public synchronized boolean isUnused() {
        return state == State.OPEN
                && !entryExists
                && reservations.isEmpty()
                && own(taken).equals(HolderEntry.NONE);
    }

    /** Returns the state in the life cycle. */
    public synchronized State state() {
        return state;
    }

    /** Returns whether returned or transferred tokens are not yet in the budget record. */
    public synchronized boolean hasUnconfirmedChanges() {
        return unconfirmedReturn() > 0 || unconfirmedTransfers() > 0;
    }

    /** Returns the tokens whose return is not confirmed yet. */
    public synchronized long unconfirmedReturn() {
        return state == State.CLOSED ? 0 : returned - recorded.returned();
    }

    /** Returns the tokens sent or received by transfers that are not in the budget record yet. */
    public synchronized long unconfirmedTransfers() {
        return state == State.CLOSED ? 0 : sentOut - recorded.sentOut() + receivedIn - recorded.receivedIn();
    }

    /**
     * Plans to take up to the given tokens, at most what is free. Empty if there is nothing to take or if the record is
     * older than what was already confirmed.
     */
    public synchronized Optional<BudgetUpdate> planTake(BudgetRecord seen, long tokens) {
        long amount = Math.min(tokens, seen.free());
        if (state != State.OPEN || amount <= 0 || isOutdated(seen)) {
            return Optional.empty();
        }
        HolderEntry entry = own(seen.holder(incarnation).taken() + amount);
        return Optional.of(new BudgetUpdate(Kind.TAKE, amount, seen.withHolder(incarnation, entry)));
    }

    /**
     * Plans to return up to the given tokens, at most what is available. The tokens leave the available balance at
     * once. With 0 tokens the update repeats an earlier return and writes the other counters.
     */
    public synchronized Optional<BudgetUpdate> planReturn(BudgetRecord seen, long tokens) {
        if (state == State.CLOSED || isOutdated(seen)) {
            return Optional.empty();
        }
        returned += Math.max(0, Math.min(tokens, available()));
        HolderEntry was = seen.holder(incarnation);
        HolderEntry entry = own(was.taken());
        if (entry.equals(was)) {
            return Optional.empty();
        }
        long amount = returned - was.returned();
        Kind kind = amount > 0 ? Kind.RETURN : Kind.CHECKPOINT;
        return Optional.of(new BudgetUpdate(kind, amount, seen.withHolder(incarnation, entry)));
    }

    /**
     * Stops taking and reserving, and plans the last update once no reservation is open. Repeat it with newer records
     * until {@link #state} is {@code CLOSED}.
     *
     * <p>A router that only received transfers has no entry yet and writes one first: after a lost answer, the absence
     * of an entry that existed before is what proves that the closing update was applied.
     */
    public synchronized Optional<BudgetUpdate> planClose(BudgetRecord seen) {
        if (state == State.OPEN) {
            state = State.CLOSING;
        }
        HolderEntry entry = own(seen.holder(incarnation).taken());
        if (!entryExists && !seen.holders().containsKey(incarnation) && entry.equals(HolderEntry.NONE)) {
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
     * Takes note of a record that the platform confirmed. Takes are credited only here, and only as far as the own
     * taken counter grew, so that a record seen twice, late or out of order changes nothing. If a newer record has lost
     * the own entry, the entry was folded and nothing is available any more.
     */
    public synchronized void observe(BudgetRecord confirmed, long version) {
        HolderEntry entry = confirmed.holders().get(incarnation);
        if (entry != null) {
            entryExists = true;
            taken = Math.max(taken, entry.taken());
            recorded = entry.isAtLeast(recorded) ? entry : recorded;
        } else if (entryExists && version > newestVersion) {
            state = State.CLOSED;
        }
        newestVersion = Math.max(newestVersion, version);
    }

    /**
     * Debits tokens for another router, at most what is available. A repeated request with the same id gets the same
     * grant. Empty if there is nothing to give.
     */
    public synchronized Optional<TransferGrant> sendTransfer(String transferId, long tokens) {
        TransferGrant earlier = sentTransfers.get(transferId);
        if (earlier != null) {
            return Optional.of(earlier);
        }
        long amount = Math.min(tokens, available());
        if (state != State.OPEN || amount <= 0) {
            return Optional.empty();
        }
        sentOut += amount;
        TransferGrant grant = new TransferGrant(transferId, budget, amount);
        sentTransfers.put(transferId, grant);
        dropOldest(sentTransfers.keySet());
        return Optional.of(grant);
    }

    /** Registers a transfer id before a request with this id is sent to exactly one peer. */
    public synchronized void expectTransfer(String transferId) {
        expectedTransfers.add(transferId);
        dropOldest(expectedTransfers);
    }

    /**
     * Credits a grant that was requested, once. Returns whether it was credited. Only expected ids are credited, so
     * that the memory of ids can be bounded without ever crediting a grant twice.
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

    private HolderEntry own(long takenValue) {
        return new HolderEntry(takenValue, returned, spent, sentOut, receivedIn);
    }

    private boolean isOutdated(BudgetRecord seen) {
        boolean hasEntry = seen.holders().containsKey(incarnation);
        return (entryExists && !hasEntry) || !seen.holder(incarnation).isAtLeast(recorded);
    }

    private static void dropOldest(Set<String> ids) {
        if (ids.size() > MAX_TRANSFERS) {
            var oldest = ids.iterator();
            oldest.next();
            oldest.remove();
        }
    }
}
