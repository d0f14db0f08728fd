package io.hornbeamfield.router.control.internal;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * The accounts of a router by budget. Callers choose the names of budgets, so the number of accounts for budgets that
 * do not exist is bounded, and such accounts are dropped. Thread-safe, except {@link #removeUnused}, which runs on the
 * control thread.
 */
final class AccountTable {
    /**
     * With {@link BudgetAccount#UNUSED_ACCOUNT_TTL} this limits a workspace to about 6 reads a second of records that
     * do not exist.
     */
    static final int MAX_UNKNOWN_PER_WORKSPACE = 64;

    private final Function<String, BudgetAccount> factory;
    private final Map<String, Entry> entries = new ConcurrentHashMap<>();
    private final Map<String, Integer> unknownByWorkspace = new ConcurrentHashMap<>();

    private static final class Entry {
        final BudgetAccount account;
        final AtomicInteger users = new AtomicInteger();
        /** Whether the account counts towards the bound; changed only inside atomic updates of its map entry. */
        boolean bounded;

        Entry(BudgetAccount account, boolean bounded) {
            this.account = account;
            this.bounded = bounded;
        }
    }

    AccountTable(Function<String, BudgetAccount> factory) {
        this.factory = factory;
    }

    /**
     * Returns the account for a reservation and protects it from removal until {@link #release}: a request on a removed
     * account would spend tokens that the replacement account does not see. Returns empty if the workspace uses too
     * many budgets that are not known to exist.
     */
    Optional<BudgetAccount> acquire(String budget) {
        return Optional.ofNullable(entries.compute(budget, (id, present) -> {
                    Entry entry = present == null ? create(id) : present;
                    if (entry != null) {
                        entry.users.incrementAndGet();
                    }
                    return entry;
                }))
                .map(e -> e.account);
    }

    /** Ends a use that {@link #acquire} started. */
    void release(String budget) {
        Entry entry = entries.get(budget);
        if (entry != null) {
            entry.users.decrementAndGet();
        }
    }

    private @Nullable Entry create(String budget) {
        int colon = budget.indexOf(':');
        if (colon < 0) {
            // The first budget of a workspace is named after the workspace, so callers cannot invent it.
            return new Entry(factory.apply(budget), false);
        }
        String workspace = budget.substring(0, colon);
        if (unknownByWorkspace.merge(workspace, 1, Integer::sum) > MAX_UNKNOWN_PER_WORKSPACE) {
            uncount(budget);
            return null;
        }
        return new Entry(factory.apply(budget), true);
    }

    private void uncount(String budget) {
        String workspace = budget.split(":", 2)[0];
        unknownByWorkspace.computeIfPresent(workspace, (w, n) -> n > 1 ? n - 1 : null);
    }

    /** Drops accounts that never held anything and whose record does not exist. */
    void removeUnused() {
        for (String budget : entries.keySet()) {
            entries.computeIfPresent(budget, (id, entry) -> {
                boolean unused = entry.users.get() == 0 && entry.account.isUnused();
                if (entry.bounded && (unused || entry.account.isKnown())) {
                    entry.bounded = false;
                    uncount(id);
                }
                return unused ? null : entry;
            });
        }
    }

    Optional<BudgetAccount> get(String budget) {
        return Optional.ofNullable(entries.get(budget)).map(e -> e.account);
    }

    Collection<BudgetAccount> all() {
        return entries.values().stream().map(e -> e.account).toList();
    }

    void forEach(BiConsumer<String, BudgetAccount> action) {
        entries.forEach((budget, entry) -> action.accept(budget, entry.account));
    }
}
