package io.hornbeamfield.core.prepaid;

import io.hornbeamfield.core.route.WorkspaceAccess;
import java.time.Clock;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * What this instance holds of all prepaid totals. Tokens are spent only after the ledger in the store says that this
 * instance took them, so a total holds whatever fails. Thread-safe.
 *
 * <pre>{@code
 * if (holdings.tryReserve("plots", 1_500)) {
 *     ...
 *     holdings.settle("plots", 1_500, 900);
 * }
 * holdings.planWrite(ledger, revision, ended).ifPresent(next -> store.write(next, revision));
 * }</pre>
 */
public final class PrepaidHoldings {
    private final Clock clock;
    private final String holder;
    private final IntSupplier holders;
    private final BooleanSupplier holds;
    /** Writes that no request waits for; the store counts and prices each call. */
    private static final long MIN_ROUTINE_WRITE_GAP_MS = 1_000;

    private final Map<String, PrepaidAccount> accounts = new TreeMap<>();
    private final WitnessedLimits limits = new WitnessedLimits();
    private Optional<Set<String>> newWitnesses = Optional.empty();
    private long writtenAtRevision = Long.MIN_VALUE;
    private long nextRoutineWriteMs = Long.MIN_VALUE;

    /** Creates the holdings of one of several holders; its name is never used again after this process. */
    public PrepaidHoldings(Clock clock, String holder, IntSupplier holders) {
        this(clock, holder, holders, () -> true);
    }

    /**
     * Creates the holdings.
     *
     * @param holder name of this instance's incarnation, never used again after this process
     * @param holders instances that hold parts of the totals
     * @param holds whether this instance is one of them
     */
    public PrepaidHoldings(Clock clock, String holder, IntSupplier holders, BooleanSupplier holds) {
        this.clock = clock;
        this.holder = holder;
        this.holders = holders;
        this.holds = holds;
    }

    /** Returns the name of this holder. */
    public String holder() {
        return holder;
    }

    /** Takes over the totals of a configuration. */
    public synchronized void updateTotals(Collection<WorkspaceAccess> workspaces) {
        workspaces.forEach(w -> w.prepaidTokens()
                .ifPresent(t -> accounts.computeIfAbsent(w.name(), n -> new PrepaidAccount())
                        .total(t)));
    }

    /** Takes over a ledger that was read, or that a confirmed write stored. */
    public synchronized void applyLedger(PrepaidLedger ledger, long revision) {
        boolean resolved = revision > writtenAtRevision;
        limits.registered(ledger.witnessesOf(holder), resolved);
        if (newWitnesses.isPresent() && newWitnesses.get().equals(limits.registered())) {
            newWitnesses = Optional.empty();
        }
        long now = clock.millis();
        accounts.forEach(
                (name, a) -> a.applyLedger(ledger.totalTaken(name), ledger.takenBy(name, holder), resolved, now));
    }

    /** Reserves the most that a request can use. Returns false if this instance does not hold as much. */
    public synchronized boolean tryReserve(String workspace, long tokens) {
        PrepaidAccount a = accounts.get(workspace);
        return a == null || a.tryReserve(tokens, limits.limit(workspace), clock.millis());
    }

    /** Replaces a reservation by what was used. */
    public synchronized void settle(String workspace, long reserved, long used) {
        PrepaidAccount a = accounts.get(workspace);
        if (a != null) {
            a.settle(reserved, used);
        }
    }

    /** Returns the instances that must know a limit before this one uses it. */
    public synchronized Set<String> witnesses() {
        return limits.all();
    }

    /** Returns whether requests of a workspace wait for a higher limit only. */
    public synchronized boolean needsHigherLimit(String workspace) {
        return account(workspace)
                .map(a -> a.needsHigherLimit(limits.limit(workspace)))
                .orElse(false);
    }

    /** Returns whether the limit lets this instance use or give some more tokens. */
    public synchronized boolean limitAllows(String workspace, long tokens) {
        long limit = limits.limit(workspace);
        return account(workspace)
                .map(a -> limit == Long.MAX_VALUE || a.net() + tokens <= limit)
                .orElse(true);
    }

    /** Returns the limit to tell to the witnesses, with room for more tokens than those that requests wait for. */
    public synchronized long proposedLimit(String workspace, long extra) {
        return account(workspace).map(a -> a.proposedLimit(extra)).orElse(0L);
    }

    /** Returns the limits to tell to new witnesses, for all workspaces. */
    public synchronized Map<String, Long> proposedLimits() {
        Map<String, Long> wanted = new HashMap<>();
        accounts.keySet().forEach(name -> wanted.put(name, proposedLimit(name, 0)));
        return wanted;
    }

    /** Returns the number of instances that hold parts of the totals. */
    public int holderCount() {
        return Math.max(1, holders.getAsInt());
    }

    /** Returns whether this instance holds parts of the totals, rather than getting what each request needs. */
    public boolean isHolder() {
        return holds.getAsBoolean();
    }

    /** Lets this instance take what waiting requests need although it holds nothing: no other instance has it. */
    public synchronized void allowDirectTake(String workspace) {
        account(workspace).ifPresent(PrepaidAccount::allowDirectTake);
    }

    /** Records that a witness knows limits. */
    public synchronized void recordAcknowledgement(String witness, Map<String, Long> known) {
        limits.recordAcknowledgement(witness, known);
    }

    /**
     * Chooses the witnesses that the next write to the ledger names; each of them must have acknowledged limits.
     * Without witnesses there are no limits, and nothing of the holdings is freed if this process is killed.
     */
    public synchronized void chooseWitnesses(Set<String> names) {
        newWitnesses = names.equals(limits.registered()) ? Optional.empty() : Optional.of(Set.copyOf(names));
    }

    /** Records that a request waits for tokens. */
    public synchronized void startWaiting(String workspace, long tokens) {
        account(workspace).ifPresent(a -> a.startWaiting(tokens));
    }

    /** Records that a request no longer waits. */
    public synchronized void stopWaiting(String workspace, long tokens) {
        account(workspace).ifPresent(a -> a.stopWaiting(tokens));
    }

    /** Returns the tokens that nobody had taken when the ledger was last seen, plus those held free here. */
    public synchronized long available(String workspace) {
        return account(workspace).map(a -> a.untaken() + Math.max(0, a.free())).orElse(Long.MAX_VALUE);
    }

    /** Returns whether what nobody has taken covers the smallest request that waits. */
    public synchronized boolean coversSmallestWaiting(String workspace) {
        return account(workspace).map(a -> a.shortfall() <= a.untaken()).orElse(true);
    }

    /** Returns the tokens that are missing here for the smallest request that waits, 0 if none waits. */
    public synchronized long shortfall(String workspace) {
        return account(workspace).map(PrepaidAccount::shortfall).orElse(0L);
    }

    /** Returns the tokens that are missing here for all requests that wait, 0 if none waits. */
    public synchronized long totalShortfall(String workspace) {
        return account(workspace).map(PrepaidAccount::totalShortfall).orElse(0L);
    }

    /**
     * Hands tokens to another instance that needs them and cannot take them from the store. They stay taken by this
     * instance in the ledger, so a lost message strands them and never spends them twice.
     *
     * @return the tokens that the other instance may spend now; they may be fewer than it wants
     */
    public synchronized long transfer(String workspace, long wanted) {
        return account(workspace)
                .map(a -> a.transfer(wanted, limits.limit(workspace)))
                .orElse(0L);
    }

    /** Hands tokens to an instance that holds nothing, for requests that wait there. */
    public synchronized long transferForUse(String workspace, long wanted) {
        return account(workspace)
                .map(a -> a.transferForUse(wanted, limits.limit(workspace), clock.millis()))
                .orElse(0L);
    }

    /** Takes over tokens that another instance has handed over. */
    public synchronized void receiveTransfer(String workspace, long tokens) {
        account(workspace).ifPresent(a -> a.receiveTransfer(tokens));
    }

    /** Returns the total of a workspace, if it is limited. */
    public synchronized Optional<Long> total(String workspace) {
        return account(workspace).map(PrepaidAccount::total);
    }

    /** Returns whether a write to the ledger is due. */
    public synchronized boolean needsWrite() {
        long now = clock.millis();
        boolean routine = now >= nextRoutineWriteMs;
        return (routine && newWitnesses.map(this::coversUse).orElse(false))
                || accounts.values().stream().anyMatch(a -> change(a, now) != 0 && (a.shortfall() > 0 || routine));
    }

    /** Returns totals, tokens taken by all and tokens held here for the log, by workspace. */
    public synchronized String summary() {
        StringBuilder text = new StringBuilder();
        accounts.forEach((name, a) -> text.append(text.isEmpty() ? "" : " ")
                .append(name)
                .append(':')
                .append(a.total())
                .append('/')
                .append(a.untaken())
                .append('/')
                .append(a.free()));
        return text.toString();
    }

    /** Returns what is known of a workspace's tokens, for the log. */
    public synchronized String describe(String workspace) {
        return account(workspace)
                .map(a -> "untaken " + a.untaken() + ", free " + a.free() + ", waiting " + a.waiting() + ", missing "
                        + a.shortfall() + ", used net " + a.net() + ", limit " + limits.limit(workspace))
                .orElse("not limited");
    }

    /** Returns the held tokens that no request has reserved, by workspace. */
    public synchronized Map<String, Long> freeTokens() {
        return accounts.entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().free()));
    }

    /**
     * Returns the ledger to write, on the condition that the store still has the given revision; empty if the ledger
     * may stay as it is.
     */
    public synchronized Optional<PrepaidLedger> planWrite(
            PrepaidLedger ledger, long revision, Collection<EndedHolder> ended) {
        long now = clock.millis();
        Map<String, Long> proposals = new HashMap<>();
        accounts.forEach((name, a) -> {
            long change = change(a, now);
            if (change != 0) {
                proposals.put(name, a.confirmedTaken() + change);
            }
        });
        PrepaidLedger next = ledger.fold(ended);
        boolean namesWitnesses = newWitnesses.isPresent() && coversUse(newWitnesses.get());
        if (proposals.isEmpty() && !namesWitnesses && next.equals(ledger)) {
            return Optional.empty();
        }
        proposals.forEach((name, taken) -> requireAccount(name).writing(taken));
        writtenAtRevision = revision;
        nextRoutineWriteMs = now + MIN_ROUTINE_WRITE_GAP_MS;
        for (Map.Entry<String, Long> p : proposals.entrySet()) {
            next = next.with(p.getKey(), holder, p.getValue());
        }
        // What was used since the new witnesses were told is known to nobody: they are told again first.
        if (namesWitnesses && newWitnesses.isPresent()) {
            limits.propose(newWitnesses.get());
            next = next.withWitnesses(holder, newWitnesses.get());
        }
        return Optional.of(next);
    }

    /** Returns the ledger to write at the end of this process: everything unused is given back. */
    public synchronized PrepaidLedger planFullReturn(PrepaidLedger ledger, long revision) {
        PrepaidLedger next = ledger;
        for (Map.Entry<String, PrepaidAccount> e : accounts.entrySet()) {
            PrepaidAccount a = e.getValue();
            long kept = a.confirmedTaken() - Math.max(0, a.free());
            a.writing(kept);
            next = next.with(e.getKey(), holder, kept);
        }
        writtenAtRevision = revision;
        return next.fold(List.of(new EndedHolder(holder, Optional.empty())));
    }

    private boolean coversUse(Set<String> witnesses) {
        return accounts.entrySet().stream().allMatch(e -> e.getValue().net() <= limits.limitOf(witnesses, e.getKey()));
    }

    private long change(PrepaidAccount a, long now) {
        if (!isHolder()) {
            return a.changeWithoutHolding();
        }
        int all = holderCount();
        long target = a.target(now, all);
        long missing = a.shortfall();
        long excess = a.waiting() > 0 ? 0 : HoldingPolicy.excess(a.free(), target, a.available(), a.total());
        if (excess > 0) {
            return -excess;
        }
        boolean due = missing > 0 || HoldingPolicy.needsRefill(a.free(), target);
        if (!due || missing > a.untaken()) {
            return 0;
        }
        long wanted = Math.max(missing, a.waiting() + target - a.free());
        return Math.min(wanted, Math.max(missing, a.untaken()));
    }

    private Optional<PrepaidAccount> account(String workspace) {
        return Optional.ofNullable(accounts.get(workspace));
    }

    private PrepaidAccount requireAccount(String workspace) {
        @Nullable PrepaidAccount a = accounts.get(workspace);
        if (a == null) {
            throw new IllegalStateException("Workspace \"" + workspace + "\" has no prepaid total.");
        }
        return a;
    }
}
