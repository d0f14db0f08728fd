package io.hornbeamfield.core.prepaid;

import io.hornbeamfield.core.route.WorkspaceAccess;
import io.hornbeamfield.core.store.StoreRevision;
import java.time.Clock;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;

/**
 * The tokens that this instance holds of all prepaid totals. Tokens are spent only after the store has confirmed that
 * this instance took them, so a total is never overspent, whatever fails. Thread-safe.
 *
 * <pre>{@code
 * if (holdings.tryReserve("plots", 1_500)) {
 *     ...
 *     holdings.settle("plots", 1_500, 900);
 * }
 * holdings.planWrite(stored, ended).ifPresent(next -> store.write(next, stored.revision()));
 * }</pre>
 */
public final class PrepaidHoldings {
    private final Clock clock;
    private final String holder;
    private final IntSupplier holders;
    private final BooleanSupplier holds;
    private final BooleanSupplier largeFleet;
    private final Map<String, PrepaidAccount> accounts = new TreeMap<>();
    private final WitnessedLimits limits = new WitnessedLimits();
    private final LedgerDeclarations declarations;
    private StoreRevision appliedRevision = StoreRevision.NONE;
    private final LedgerWrites writes;

    /** Creates the holdings of an instance that is always a holder. */
    public PrepaidHoldings(Clock clock, String holder, IntSupplier holders) {
        this(clock, holder, holders, () -> true);
    }

    /** Creates the holdings of an instance of a small fleet. */
    public PrepaidHoldings(Clock clock, String holder, IntSupplier holders, BooleanSupplier holds) {
        this(clock, holder, holders, holds, () -> false);
    }

    /**
     * Creates the holdings of an instance.
     *
     * @param holder name of this instance's incarnation; it is not reused after this process has ended
     * @param holders number of instances that hold parts of the totals
     * @param holds whether this instance is one of them
     * @param largeFleet whether the holders supply further instances, which hold no parts
     */
    public PrepaidHoldings(
            Clock clock, String holder, IntSupplier holders, BooleanSupplier holds, BooleanSupplier largeFleet) {
        this.clock = clock;
        this.holder = holder;
        this.holders = holders;
        this.holds = holds;
        this.largeFleet = largeFleet;
        this.declarations = new LedgerDeclarations(clock, holder, this::certainlyTaken);
        this.writes = new LedgerWrites(this, clock, accounts, limits, declarations);
    }

    /** Sets the access to what is known of other holders without the store. */
    public synchronized void usePeers(LedgerPeers peers) {
        declarations.peers(peers);
    }

    /** Returns the name of this holder. */
    public String holder() {
        return holder;
    }

    /**
     * Applies the totals of a configuration. A workspace that is new here may have been used for long by others. One
     * without a total keeps its account, because its total may return and what was taken of it stays in the ledger.
     */
    public synchronized void updateTotals(Collection<WorkspaceAccess> workspaces) {
        workspaces.forEach(w -> w.prepaidTokens()
                .ifPresent(t ->
                        accounts.computeIfAbsent(w.name(), this::newAccount).total(t)));
    }

    private PrepaidAccount newAccount(String workspace) {
        PrepaidAccount a = new PrepaidAccount();
        StoredLedger confirmed = declarations.confirmed();
        if (confirmed != null) {
            applyLedger(confirmed.ledger(), workspace, a);
        }
        return a;
    }

    /**
     * Applies a ledger that was read, or that was stored by a confirmed write. One of a store that came back from an
     * older copy is not applied until it shows what this holder has taken.
     */
    public synchronized void applyLedger(StoredLedger stored) {
        if (!declarations.observe(stored)) {
            return;
        }
        PrepaidLedger ledger = stored.ledger();
        appliedRevision = stored.revision();
        limits.applyRegistered(ledger.witnessesOf(holder), writesResolved());
        writes.witnessesRegistered();
        accounts.forEach((name, a) -> applyLedger(ledger, name, a));
    }

    private void applyLedger(PrepaidLedger ledger, String workspace, PrepaidAccount account) {
        account.applyLedger(
                ledger.totalTaken(workspace), ledger.takenBy(workspace, holder), writesResolved(), clock.millis());
    }

    /** Returns whether the applied ledger shows the outcome of all writes. */
    private boolean writesResolved() {
        return appliedRevision.compareTo(writes.writtenAtRevision()) > 0;
    }

    /** Applies the ledger on which a write is based, so that the write cannot take what others have taken. */
    private void applyBase(StoredLedger stored) {
        if (!declarations.isLatest(stored)) {
            applyLedger(stored);
        }
    }

    private Map<String, Long> certainlyTaken() {
        Map<String, Long> taken = new HashMap<>();
        accounts.forEach((name, a) -> {
            if (a.certainlyTaken() != 0) {
                taken.put(name, a.certainlyTaken());
            }
        });
        return taken;
    }

    /** Returns whether tokens may be taken; not while holders declare what a restored ledger may lack. */
    public synchronized boolean isLedgerSettled() {
        return declarations.isSettled();
    }

    /**
     * Reserves the most that a request can use. Returns false if the free tokens or the witnessed limit do not cover
     * it.
     */
    public synchronized boolean tryReserve(String workspace, long tokens) {
        PrepaidAccount a = accounts.get(workspace);
        return a == null || a.tryReserve(tokens, limits.limit(workspace), clock.millis());
    }

    /** Settles a reservation: releases the reserved tokens and records those that were used. */
    public synchronized void settle(String workspace, long reserved, long used) {
        PrepaidAccount a = accounts.get(workspace);
        if (a != null) {
            a.settle(reserved, used);
        }
    }

    /** Returns the witnesses, a quorum of which must acknowledge a limit before this instance uses it. */
    public synchronized Set<String> witnesses() {
        return limits.all();
    }

    /** Returns whether requests of a workspace wait only because the witnessed limit is too low. */
    public synchronized boolean needsHigherLimit(String workspace) {
        return account(workspace)
                .map(a -> a.needsHigherLimit(limits.limit(workspace)))
                .orElse(false);
    }

    /** Returns whether the witnessed limit allows this instance to use or transfer the given number of tokens. */
    public synchronized boolean limitAllows(String workspace, long tokens) {
        long limit = limits.limit(workspace);
        return account(workspace)
                .map(a -> limit == Long.MAX_VALUE || a.net() + tokens <= limit)
                .orElse(true);
    }

    /** Returns the limit to send to the witnesses, with room for extra tokens beyond those of the waiting requests. */
    public synchronized long proposedLimit(String workspace, long extra) {
        return account(workspace).map(a -> a.proposedLimit(extra)).orElse(0L);
    }

    /** Returns the limits of all workspaces to send to new witnesses. */
    public synchronized Map<String, Long> proposedLimits() {
        Map<String, Long> proposed = new HashMap<>();
        accounts.keySet().forEach(name -> proposed.put(name, proposedLimit(name, 0)));
        return proposed;
    }

    /** Returns the number of instances that hold parts of the totals. */
    public int holderCount() {
        return Math.max(1, holders.getAsInt());
    }

    /**
     * Returns whether this instance holds parts of the totals; if not, it gets tokens from holders for each request.
     */
    public boolean isHolder() {
        return holds.getAsBoolean();
    }

    /** Returns whether the holders supply further instances. */
    public boolean isLargeFleet() {
        return largeFleet.getAsBoolean();
    }

    /** Allows this instance to take tokens for waiting requests although it is no holder, as no holder has enough. */
    public synchronized void allowDirectTake(String workspace) {
        account(workspace).ifPresent(PrepaidAccount::allowDirectTake);
    }

    /** Records limits that a witness has acknowledged. */
    public synchronized void recordAcknowledgement(String witness, Map<String, Long> known) {
        limits.recordAcknowledgement(witness, known);
    }

    /**
     * Sets the witnesses that the next write to the ledger registers; each of them must have acknowledged limits.
     * Without witnesses the use is not limited, and none of the holdings are released if this process is killed.
     */
    public synchronized void chooseWitnesses(Set<String> names) {
        writes.chooseWitnesses(names);
    }

    /** Records that a request starts waiting for tokens. */
    public synchronized void startWaiting(String workspace, long tokens) {
        account(workspace).ifPresent(a -> a.startWaiting(tokens));
    }

    /** Records that a request no longer waits. */
    public synchronized void stopWaiting(String workspace, long tokens) {
        account(workspace).ifPresent(a -> a.stopWaiting(tokens));
    }

    /**
     * Returns the tokens that no holder had taken when the ledger was last observed, plus the free tokens held here.
     */
    public synchronized long available(String workspace) {
        return account(workspace).map(a -> a.untaken() + Math.max(0, a.free())).orElse(Long.MAX_VALUE);
    }

    /** Returns whether the tokens that no holder has taken cover the shortfall of the smallest waiting request. */
    public synchronized boolean coversSmallestWaiting(String workspace) {
        return !declarations.isSettled()
                || account(workspace).map(a -> a.shortfall() <= a.untaken()).orElse(true);
    }

    /** Returns the tokens that the smallest waiting request lacks here, 0 if none is waiting. */
    public synchronized long shortfall(String workspace) {
        return account(workspace).map(PrepaidAccount::shortfall).orElse(0L);
    }

    /** Returns the tokens that all waiting requests together lack here, 0 if none is waiting. */
    public synchronized long totalShortfall(String workspace) {
        return account(workspace).map(PrepaidAccount::totalShortfall).orElse(0L);
    }

    /**
     * Transfers tokens to another instance that needs them and cannot take them from the store. In the ledger they stay
     * taken by this instance, so a lost message strands them, and they are never spent twice.
     *
     * @return the tokens that the other instance may spend; they may be fewer than requested
     */
    public synchronized long transfer(String workspace, long wanted) {
        return account(workspace)
                .map(a -> largeFleet.getAsBoolean()
                        ? a.transferUseful(wanted, limits.limit(workspace))
                        : a.transfer(wanted, limits.limit(workspace)))
                .orElse(0L);
    }

    /**
     * Transfers all of the requested tokens, or none, to an instance that is not a holder, for requests waiting there.
     */
    public synchronized long transferForUse(String workspace, long wanted) {
        return transferForUse(workspace, wanted, wanted);
    }

    /**
     * Transfers the preferred number of tokens while this holding is plentiful, else all of the wanted tokens, or none.
     */
    public synchronized long transferForUse(String workspace, long wanted, long preferred) {
        return account(workspace)
                .map(a -> a.transferForUse(wanted, preferred, limits.limit(workspace), holderCount(), clock.millis()))
                .orElse(0L);
    }

    /** Returns the tokens to prefer in a request for missing ones: enough for the next requests here as well. */
    public synchronized long preferredTransfer(String workspace, long missing) {
        return account(workspace)
                .map(a -> a.preferredTransfer(missing, clock.millis()))
                .orElse(missing);
    }

    /** Adds tokens that another instance has transferred to this one. */
    public synchronized void receiveTransfer(String workspace, long tokens) {
        account(workspace).ifPresent(a -> a.receiveTransfer(tokens));
    }

    /** Returns the total of a workspace, if it is limited. */
    public synchronized Optional<Long> total(String workspace) {
        return account(workspace).map(PrepaidAccount::total);
    }

    /** Returns whether a write to the ledger is due. */
    public synchronized boolean needsWrite() {
        return writes.areDue();
    }

    /** Returns the total, the untaken tokens and the free tokens held here of each workspace, for the log. */
    public synchronized String summary() {
        return accounts.entrySet().stream()
                .map(e -> e.getKey() + ":" + e.getValue().summary())
                .collect(Collectors.joining(" "));
    }

    /** Describes the state of a workspace's tokens for the log. */
    public synchronized String describe(String workspace) {
        return account(workspace)
                .map(a -> a.describe() + ", limit " + limits.limit(workspace))
                .orElse("not limited");
    }

    /** Returns by workspace the tokens held here that are neither reserved nor used. */
    public synchronized Map<String, Long> freeTokens() {
        return accounts.entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().free()));
    }

    /**
     * Plans a write that is conditional on the revision of a ledger. Returns the ledger to write, or empty if no change
     * is needed.
     */
    public synchronized Optional<PrepaidLedger> planWrite(StoredLedger stored, Collection<EndedHolder> ended) {
        applyBase(stored);
        return writes.plan(stored, ended);
    }

    /** Plans the ledger to create in a store that has none. */
    public synchronized PrepaidLedger planCreation(long era) {
        return declarations.create(era);
    }

    /** Plans the final write of this process, which returns all free tokens. */
    public synchronized PrepaidLedger planFullReturn(StoredLedger stored) {
        applyBase(stored);
        return writes.planFullReturn(stored);
    }

    private Optional<PrepaidAccount> account(String workspace) {
        return Optional.ofNullable(accounts.get(workspace));
    }
}
