package io.hornbeamfield.core.prepaid;

import io.hornbeamfield.core.store.StoreRevision;
import java.time.Clock;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Plans the writes to the ledger that one instance's holdings need. Not thread-safe. */
final class LedgerWrites {
    /** Shortest time between two writes that no request is waiting for; the store counts and prices each call. */
    private static final long MIN_ROUTINE_WRITE_INTERVAL_MS = 1_000;

    private static final HoldingSizer LARGE_FLEET = new LargeFleetSizer();

    private final PrepaidHoldings holdings;
    private final Clock clock;
    private final Map<String, PrepaidAccount> accounts;
    private final WitnessedLimits limits;
    private final LedgerDeclarations declarations;
    private Optional<Set<String>> newWitnesses = Optional.empty();
    private StoreRevision writtenAtRevision = StoreRevision.NONE;
    private long nextRoutineWriteMs = Long.MIN_VALUE;

    LedgerWrites(
            PrepaidHoldings holdings,
            Clock clock,
            Map<String, PrepaidAccount> accounts,
            WitnessedLimits limits,
            LedgerDeclarations declarations) {
        this.holdings = holdings;
        this.clock = clock;
        this.accounts = accounts;
        this.limits = limits;
        this.declarations = declarations;
    }

    /** Returns the revision on which the latest write was based. */
    StoreRevision writtenAtRevision() {
        return writtenAtRevision;
    }

    /** Sets the witnesses that the next write registers. */
    void chooseWitnesses(Set<String> names) {
        newWitnesses = names.equals(limits.registered()) ? Optional.empty() : Optional.of(Set.copyOf(names));
    }

    /** Records that the ledger registers the witnesses that the limits name. */
    void witnessesRegistered() {
        if (newWitnesses.isPresent() && newWitnesses.get().equals(limits.registered())) {
            newWitnesses = Optional.empty();
        }
    }

    /** Returns whether a write is due. */
    boolean areDue() {
        if (!declarations.isSettled()) {
            return declarations.isDue(holdings.isHolder()) || declarations.isOverdue();
        }
        long now = clock.millis();
        boolean routine = now >= nextRoutineWriteMs;
        return (routine && newWitnesses.map(this::coversUse).orElse(false))
                || accounts.values().stream()
                        .anyMatch(a -> change(a, now, false) != 0 && (a.shortfall() > 0 || routine));
    }

    /** Plans a write that is based on the ledger that was applied last; empty if no change is needed. */
    Optional<PrepaidLedger> plan(StoredLedger stored, Collection<EndedHolder> ended) {
        if (!declarations.isSettled()) {
            return planDeclaration(stored);
        }
        PrepaidLedger ledger = stored.ledger();
        long now = clock.millis();
        Map<String, Long> proposals = new HashMap<>();
        // A write is paid for once, so it refills all holdings of a large fleet that are not full.
        boolean refillAll =
                holdings.isLargeFleet() && accounts.values().stream().anyMatch(a -> change(a, now, false) != 0);
        accounts.forEach((name, a) -> {
            long change = change(a, now, refillAll);
            if (change != 0) {
                proposals.put(name, a.confirmedTaken() + change);
            }
        });
        PrepaidLedger next = ledger.fold(ended);
        boolean setsWitnesses = newWitnesses.isPresent() && coversUse(newWitnesses.get());
        if (proposals.isEmpty() && !setsWitnesses && next.equals(ledger)) {
            return Optional.empty();
        }
        accounts.forEach((name, a) -> {
            Long taken = proposals.get(name);
            if (taken != null) {
                a.recordPendingWrite(taken);
            }
        });
        for (Map.Entry<String, Long> p : proposals.entrySet()) {
            next = next.with(p.getKey(), holdings.holder(), p.getValue());
        }
        writtenAtRevision = stored.revision();
        nextRoutineWriteMs = now + MIN_ROUTINE_WRITE_INTERVAL_MS;
        // Use beyond the limits that the new witnesses acknowledged would be unwitnessed; they must get new limits
        // first.
        if (setsWitnesses && newWitnesses.isPresent()) {
            limits.propose(newWitnesses.get());
            next = next.withWitnesses(holdings.holder(), newWitnesses.get());
        }
        return Optional.of(next.ofEra(stored.era()));
    }

    private Optional<PrepaidLedger> planDeclaration(StoredLedger stored) {
        if (declarations.isDue(holdings.isHolder())) {
            return Optional.of(declarations.declare(stored));
        }
        return declarations.isOverdue()
                ? Optional.of(declarations.settle(stored, this::mostTakenUnseen))
                : Optional.empty();
    }

    /** Returns what a holder that does not declare may have taken at most by the sizing of holdings. */
    private long mostTakenUnseen(String workspace, PrepaidLedger ledger) {
        long total = holdings.total(workspace).orElse(0L);
        long untaken = Math.max(0, total - ledger.totalTaken(workspace));
        int holders = Math.max(holdings.holderCount(), ledger.activeHolders().size());
        return sizer().target(new HoldingSizer.Holding(total, untaken, 0, total), holders);
    }

    /** Plans the final write of the process, which returns all free tokens. */
    PrepaidLedger planFullReturn(StoredLedger stored) {
        PrepaidLedger next = declarations.isLatestConfirmed() ? stored.ledger() : declarations.declare(stored);
        for (Map.Entry<String, PrepaidAccount> e : accounts.entrySet()) {
            PrepaidAccount a = e.getValue();
            long kept = a.confirmedTaken() - Math.max(0, a.free());
            a.recordPendingWrite(kept);
            next = next.with(e.getKey(), holdings.holder(), kept);
        }
        writtenAtRevision = stored.revision();
        return next.fold(List.of(new EndedHolder(holdings.holder(), Optional.empty())));
    }

    /** Returns whether the limits that the witnesses have acknowledged cover the current use of all workspaces. */
    private boolean coversUse(Set<String> witnesses) {
        return accounts.entrySet().stream().allMatch(e -> e.getValue().net() <= limits.limitOf(witnesses, e.getKey()));
    }

    private long change(PrepaidAccount a, long now, boolean refill) {
        return new HoldingChange(holdings.isHolder(), holdings.holderCount(), sizer()).tokens(a, now, refill);
    }

    private HoldingSizer sizer() {
        return holdings.isLargeFleet() ? LARGE_FLEET : HoldingSizer.SMALL_FLEET;
    }
}
