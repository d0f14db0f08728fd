package io.hornbeamfield.core.admission.internal;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Waiting requests of one priority. The next one comes from the workspace that has been served least (start-time fair
 * queueing by cost); within a workspace the earliest deadline comes first.
 */
public final class FairQueue {
    private final Map<String, TreeSet<Entry>> byWorkspace = new HashMap<>();
    private final FairShares shares;
    private int size;

    public FairQueue(FairShares shares) {
        this.shares = shares;
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return size;
    }

    /** Returns the number of waiting requests of a workspace. */
    public int sizeOf(String workspace) {
        TreeSet<Entry> own = byWorkspace.get(workspace);
        return own == null ? 0 : own.size();
    }

    /** Adds a request. */
    public void add(Entry entry) {
        byWorkspace
                .computeIfAbsent(entry.request().workspace(), w -> new TreeSet<>())
                .add(entry);
        size++;
    }

    /** Removes a request. Returns whether it was waiting. */
    public boolean remove(Entry entry) {
        TreeSet<Entry> own = byWorkspace.get(entry.request().workspace());
        if (own == null || !own.remove(entry)) {
            return false;
        }
        if (own.isEmpty()) {
            byWorkspace.remove(entry.request().workspace());
        }
        size--;
        return true;
    }

    /** Returns the request that is to run next. */
    public Optional<Entry> next() {
        return byWorkspace.entrySet().stream()
                .min(Comparator.comparingDouble((Map.Entry<String, TreeSet<Entry>> e) -> shares.startOf(e.getKey()))
                        .thenComparing(e -> e.getValue().first()))
                .map(e -> e.getValue().first());
    }

    /** Returns the last request of the workspace that has most requests waiting. */
    public Optional<Entry> lastOfLargest() {
        return byWorkspace.values().stream()
                .max(Comparator.comparingInt(TreeSet::size))
                .map(TreeSet::last);
    }

    /** Returns how many waiting requests would run before the given one, with workspaces taking turns. */
    public int ahead(Entry entry) {
        TreeSet<Entry> own = byWorkspace.get(entry.request().workspace());
        int ownAhead = own == null ? 0 : own.headSet(entry).size();
        int total = ownAhead;
        for (TreeSet<Entry> other : byWorkspace.values()) {
            total += other == own ? 0 : Math.min(other.size(), ownAhead + 1);
        }
        return total;
    }

    /** Returns the waiting requests that fulfil the condition. */
    public Iterable<Entry> all(Predicate<Entry> condition) {
        return byWorkspace.values().stream()
                .flatMap(TreeSet::stream)
                .filter(condition)
                .toList();
    }
}
