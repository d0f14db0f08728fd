package io.hornbeamfield.core.prepaid;

import java.time.Clock;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.ToLongBiFunction;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Decides when a ledger can be used that the store has brought back from an older copy. Such a ledger may lack what
 * holders have taken, so nobody takes or returns tokens until all holders have declared in it what they have taken. A
 * holder that does not declare in time is charged what others know of it, plus a part that is set aside. Not
 * thread-safe.
 *
 * <p>Designed for a store that loses its last seconds while up to 13 holders of a small fleet, or 8 of a large one,
 * spend what they have taken in them.
 */
final class LedgerDeclarations {
    /** Time within which holders in touch with the store declare, including the conflicts of their writes. */
    static final long DECLARATION_MS = 3_000;

    /** Era of a store that has never come back from a copy. */
    private static final long FIRST_ERA = 1;

    private final Clock clock;
    private final String holder;
    private final Supplier<Map<String, Long>> ownTaken;
    private LedgerPeers peers = LedgerPeers.NONE;
    private @Nullable StoredLedger confirmed;
    private @Nullable StoredLedger observed;
    private long unsettledSinceMs;

    /**
     * Creates a state in which no ledger has been observed.
     *
     * @param ownTaken returns by workspace what this holder has certainly taken and not returned
     */
    LedgerDeclarations(Clock clock, String holder, Supplier<Map<String, Long>> ownTaken) {
        this.clock = clock;
        this.holder = holder;
        this.ownTaken = ownTaken;
    }

    void peers(LedgerPeers next) {
        peers = next;
    }

    /** Records a ledger that was read or stored. Returns whether it shows what this holder has taken. */
    boolean observe(StoredLedger ledger) {
        boolean wasSettled =
                observed == null || observed.isSettled() || !observed.revision().isOfGenerationOf(ledger.revision());
        if (wasSettled && !ledger.isSettled()) {
            unsettledSinceMs = clock.millis();
        }
        observed = ledger;
        boolean complete =
                ledger.isOfCurrentEra() && !ledger.ledger().undeclared().contains(holder) && !lacksKnown(ledger);
        if (complete) {
            confirmed = ledger;
        }
        return complete;
    }

    /** Returns whether a ledger of a later generation lacks what this holder has taken, or knows of others. */
    private boolean lacksKnown(StoredLedger ledger) {
        return confirmed != null
                && !confirmed.revision().isOfGenerationOf(ledger.revision())
                && (!ownTaken.get().equals(ledger.ledger().takenBy(holder))
                        || confirmed.version().compareTo(ledger.ledger().basisOrNone()) > 0);
    }

    /** Returns the latest ledger that shows what this holder has taken. */
    @Nullable
    StoredLedger confirmed() {
        return confirmed;
    }

    /** Returns whether a ledger is the one that was observed last. */
    boolean isLatest(StoredLedger ledger) {
        return observed != null && observed.revision().equals(ledger.revision()) && observed.era() == ledger.era();
    }

    /** Returns whether the ledger that was observed last shows what this holder has taken. */
    boolean isLatestConfirmed() {
        return observed == confirmed;
    }

    /** Returns whether tokens may be taken and returned on the basis of the ledger that was observed last. */
    boolean isSettled() {
        return observed == null || (observed == confirmed && observed.isSettled());
    }

    /** Returns whether this holder must declare what it has taken. */
    boolean isDue(boolean holds) {
        StoredLedger last = observed;
        if (last == null || last == confirmed) {
            return false;
        }
        return holds || !ownTaken.get().isEmpty() || last.ledger().undeclared().contains(holder);
    }

    /** Returns whether the holders that have not declared have had the time for it. */
    boolean isOverdue() {
        StoredLedger last = observed;
        return last != null
                && last == confirmed
                && !last.isSettled()
                && clock.millis() >= unsettledSinceMs + DECLARATION_MS;
    }

    /** Returns a copy of a ledger in which this holder has declared what it has taken and what it knows of others. */
    PrepaidLedger declare(StoredLedger stored) {
        PrepaidLedger next = stored.isOfCurrentEra() ? stored.ledger() : beginEra(stored);
        StoredLedger known = confirmed;
        if (known != null) {
            next = includeKnown(next, known);
        }
        next = raise(next, next.undeclared(), peers::witnessedLimits);
        PrepaidLedger own = known == null ? PrepaidLedger.empty() : known.ledger();
        Set<String> missing = new HashSet<>(next.undeclared());
        missing.remove(holder);
        return next.with(holder, ownTaken.get())
                .withWitnesses(holder, own.witnessesOf(holder))
                .restored(next.basisOrNone(), missing, next.closed())
                .ofEra(stored.era());
    }

    private PrepaidLedger includeKnown(PrepaidLedger ledger, StoredLedger known) {
        int comparison = known.version().compareTo(ledger.basisOrNone());
        if (comparison > 0) {
            return ledger.isComplete() ? addLate(ledger, known) : adopt(ledger, known);
        }
        // The basis may be a late write under the same revision, which was given out again.
        return comparison == 0 ? raise(ledger, ledger.undeclared(), known.ledger()::takenBy) : ledger;
    }

    /**
     * Returns the ledger to create in a store that has none. A store that has come back from a copy may have lost the
     * first ledger, so that holders are awaited that it cannot name.
     */
    PrepaidLedger create(long era) {
        StoredLedger known = confirmed;
        if (known != null) {
            return declare(new StoredLedger(known.ledger(), known.revision(), era));
        }
        Set<String> awaited = era > FIRST_ERA ? Set.of(PrepaidLedger.UNNAMED) : Set.of();
        return PrepaidLedger.empty().ofEra(era).restored(PrepaidLedger.Version.NONE, awaited, false);
    }

    /** Starts the declarations of an era, of which the given ledger is the copy that the store came back from. */
    private PrepaidLedger beginEra(StoredLedger copy) {
        StoredLedger known = confirmed;
        StoredLedger newest = known != null && known.version().compareTo(copy.version()) >= 0 ? known : copy;
        return newest.ledger().restored(newest.version(), expected(newest.ledger()), false);
    }

    /** Replaces what holders have not declared by what a newer ledger of the earlier era showed. */
    private PrepaidLedger adopt(PrepaidLedger ledger, StoredLedger newer) {
        Set<String> declared = ledger.activeHolders();
        declared.removeAll(ledger.undeclared());
        PrepaidLedger next = newer.ledger();
        for (String other : declared) {
            next = next.with(other, ledger.takenBy(other)).withWitnesses(other, ledger.witnessesOf(other));
        }
        Set<String> missing = notSucceeded(newer.ledger());
        missing.addAll(ledger.undeclared());
        missing.removeAll(declared);
        return withEndedOf(next, ledger).restored(newer.version(), missing, false);
    }

    /** Adds what a newer ledger of the earlier era showed after tokens have been taken in this one. */
    private static PrepaidLedger addLate(PrepaidLedger ledger, StoredLedger newer) {
        PrepaidLedger next =
                raise(withEndedOf(ledger, newer.ledger()), newer.ledger().activeHolders(), newer.ledger()::takenBy);
        return next.restored(newer.version(), next.undeclared(), true);
    }

    private static PrepaidLedger withEndedOf(PrepaidLedger ledger, PrepaidLedger other) {
        return raise(ledger, Set.of(PrepaidLedger.ENDED), other::takenBy);
    }

    /** Returns a copy in which the given holders are charged at least what is known of each. */
    private static PrepaidLedger raise(
            PrepaidLedger ledger, Set<String> holders, Function<String, Map<String, Long>> known) {
        PrepaidLedger next = ledger;
        for (String h : holders) {
            Map<String, Long> taken = new HashMap<>(next.takenBy(h));
            known.apply(h).forEach((workspace, tokens) -> taken.merge(workspace, tokens, Math::max));
            next = next.with(h, taken);
        }
        return next;
    }

    /** Returns the holders that have to declare: those of a ledger, and those that are linked. */
    private Set<String> expected(PrepaidLedger ledger) {
        Set<String> all = notSucceeded(ledger);
        all.addAll(peers.linkedHolders());
        return all;
    }

    /**
     * Returns the holders of a ledger that may have taken more since it was written. One whose instance runs again had
     * ended before if the ledger names its successor too.
     */
    private Set<String> notSucceeded(PrepaidLedger ledger) {
        Set<String> running = new HashSet<>(peers.linkedHolders());
        running.add(holder);
        Set<String> active = ledger.activeHolders();
        Set<String> succeeded = active.stream()
                .filter(running::contains)
                .map(PrepaidLedger::instanceOf)
                .collect(Collectors.toSet());
        return active.stream()
                .filter(h -> running.contains(h) || !succeeded.contains(PrepaidLedger.instanceOf(h)))
                .collect(Collectors.toCollection(HashSet::new));
    }

    /**
     * Returns a copy of a ledger in which the holders that have not declared are charged in addition what they may have
     * taken unseen.
     *
     * @param setAside the tokens of a workspace to set aside for a holder, given the ledger
     */
    PrepaidLedger settle(StoredLedger stored, ToLongBiFunction<String, PrepaidLedger> setAside) {
        PrepaidLedger next = stored.ledger();
        for (String missing : next.undeclared()) {
            if (missing.equals(PrepaidLedger.UNNAMED)) {
                continue;
            }
            Map<String, Long> taken = new HashMap<>(next.takenBy(missing));
            for (String workspace : next.taken().keySet()) {
                taken.merge(workspace, setAside.applyAsLong(workspace, next), Long::sum);
            }
            next = next.with(missing, taken);
        }
        return next.restored(next.basisOrNone(), next.undeclared(), true);
    }
}
