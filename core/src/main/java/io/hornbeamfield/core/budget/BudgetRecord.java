package io.hornbeamfield.core.budget;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The shared record of one budget, changed only by conditional updates.
 *
 * <pre>{@code
 * BudgetRecord record = BudgetRecord.create("plots").withTopUp("invoice-17", 1_000_000);
 * record.free(); // 1000000
 * }</pre>
 */
public record BudgetRecord(
        String budget, long granted, Map<String, Long> topUps, long folded, Map<String, HolderEntry> holders) {

    /** Number of top-up ids that are kept to recognise a repeated top-up. */
    public static final int MAX_TOP_UPS = 256;

    public BudgetRecord {
        topUps = Collections.unmodifiableMap(new LinkedHashMap<>(topUps));
        holders = Collections.unmodifiableMap(new TreeMap<>(holders));
    }

    /** Creates a record without tokens. */
    public static BudgetRecord create(String budget) {
        return new BudgetRecord(budget, 0, Map.of(), 0, Map.of());
    }

    /** Returns the tokens that no holder has taken. */
    public long free() {
        long netTaken =
                holders.values().stream().mapToLong(HolderEntry::netTaken).sum();
        return granted - folded - netTaken;
    }

    /** Returns the entry of a holder, with zero counters when there is none. */
    public HolderEntry holder(String incarnation) {
        return holders.getOrDefault(incarnation, HolderEntry.NONE);
    }

    /** Returns the tokens that the holders could still spend according to their last written entries. */
    public long totalHeld() {
        return holders.values().stream().mapToLong(HolderEntry::held).sum();
    }

    /** Adds a top-up. A top-up whose id is already known changes nothing. */
    public BudgetRecord withTopUp(String id, long tokens) {
        if (tokens <= 0) {
            throw new IllegalArgumentException("A top-up must add at least one token, got " + tokens);
        }
        if (topUps.containsKey(id)) {
            return this;
        }
        var ids = new LinkedHashMap<>(topUps);
        ids.put(id, tokens);
        var oldestFirst = ids.keySet().iterator();
        for (int surplus = ids.size() - MAX_TOP_UPS; surplus > 0; surplus--) {
            oldestFirst.next();
            oldestFirst.remove();
        }
        return new BudgetRecord(budget, Math.addExact(granted, tokens), ids, folded, holders);
    }

    /** Replaces the entry of one holder. */
    public BudgetRecord withHolder(String incarnation, HolderEntry entry) {
        var changed = new TreeMap<>(holders);
        changed.put(incarnation, entry);
        return new BudgetRecord(budget, granted, topUps, folded, changed);
    }

    /** Returns everything that the entry holds to the free balance and removes the entry. */
    public BudgetRecord withFolded(String incarnation, HolderEntry last) {
        var changed = new TreeMap<>(holders);
        changed.remove(incarnation);
        return new BudgetRecord(budget, granted, topUps, folded + last.netTaken() - last.held(), changed);
    }

    /**
     * Folds the entry of a holder that an operator has confirmed to be gone. The tokens counted as used by the holder
     * must include those that it sent to other routers and had not written to its entry yet; otherwise these tokens
     * would exist twice. The entry's own spent counter is a lower limit.
     */
    public BudgetRecord withRelease(String incarnation, long used) {
        HolderEntry entry = holders.get(incarnation);
        if (entry == null) {
            return this;
        }
        long spent = Math.max(used, entry.spent());
        var last = new HolderEntry(entry.taken(), entry.returned(), spent, entry.sentOut(), entry.receivedIn());
        return withFolded(incarnation, last);
    }
}
