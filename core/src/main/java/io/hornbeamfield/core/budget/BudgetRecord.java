package io.hornbeamfield.core.budget;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The shared record of one budget on the platform. It is modified only by conditional updates.
 *
 * <pre>{@code
 * BudgetRecord record = BudgetRecord.create("plots").withTopUp("invoice-17", 1_000_000);
 * record.free(); // 1000000
 * }</pre>
 */
public record BudgetRecord(
        String budget, long granted, Map<String, Long> topUps, long folded, Map<String, HolderEntry> holders) {

    /** Maximum number of top-up ids retained for deduplication. */
    public static final int MAX_TOP_UPS = 256;

    public BudgetRecord {
        topUps = Collections.unmodifiableMap(new LinkedHashMap<>(topUps));
        holders = Collections.unmodifiableMap(new TreeMap<>(holders));
    }

    /** Creates a record without tokens or holders. */
    public static BudgetRecord create(String budget) {
        return new BudgetRecord(budget, 0, Map.of(), 0, Map.of());
    }

    /** Returns the free balance: the tokens granted and neither folded nor taken by a holder. */
    public long free() {
        long netTaken =
                holders.values().stream().mapToLong(HolderEntry::netTaken).sum();
        return granted - folded - netTaken;
    }

    /** Returns the entry of a holder, or {@link HolderEntry#NONE} if it has none. */
    public HolderEntry holder(String incarnation) {
        return holders.getOrDefault(incarnation, HolderEntry.NONE);
    }

    /** Returns the total number of unspent tokens held, according to the last written entries of the holders. */
    public long totalHeld() {
        return holders.values().stream().mapToLong(HolderEntry::held).sum();
    }

    /** Adds a top-up. Idempotent: returns this record if the id is already known. */
    public BudgetRecord withTopUp(String id, long tokens) {
        if (tokens <= 0) {
            throw new IllegalArgumentException("A top-up must add at least one token, got " + tokens);
        }
        if (topUps.containsKey(id)) {
            return this;
        }
        var ids = new LinkedHashMap<>(topUps);
        ids.put(id, tokens);
        var oldest = ids.keySet().iterator();
        for (int excess = ids.size() - MAX_TOP_UPS; excess > 0; excess--) {
            oldest.next();
            oldest.remove();
        }
        return new BudgetRecord(budget, Math.addExact(granted, tokens), ids, folded, holders);
    }

    /** Returns a copy with the entry of one holder replaced. */
    public BudgetRecord withHolder(String incarnation, HolderEntry entry) {
        var updated = new TreeMap<>(holders);
        updated.put(incarnation, entry);
        return new BudgetRecord(budget, granted, topUps, folded, updated);
    }

    /** Removes the entry of a holder, returns its held tokens to the free balance and counts the rest as folded. */
    public BudgetRecord withFolded(String incarnation, HolderEntry finalEntry) {
        var updated = new TreeMap<>(holders);
        updated.remove(incarnation);
        return new BudgetRecord(budget, granted, topUps, folded + finalEntry.netTaken() - finalEntry.held(), updated);
    }

    /**
     * Folds the entry of a holder that an operator has confirmed to be dead. {@code used} must include tokens that the
     * holder sent to other routers without having written the transfer to its entry; otherwise these tokens would exist
     * twice. The spent counter of the entry is a lower bound for {@code used}.
     */
    public BudgetRecord withRelease(String incarnation, long used) {
        HolderEntry entry = holders.get(incarnation);
        if (entry == null) {
            return this;
        }
        long spent = Math.max(used, entry.spent());
        var finalEntry = new HolderEntry(entry.taken(), entry.returned(), spent, entry.sentOut(), entry.receivedIn());
        return withFolded(incarnation, finalEntry);
    }
}
