package io.hornbeamfield.core.admission.internal;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Queue of the waiting requests of one priority. The next request is taken from the workspace with the earliest virtual
 * start (start-time fair queueing by cost); within a workspace the earliest deadline comes first.
 */
public final class FairQueue {
    private final Map<String, TreeSet<Entry>> byWorkspace = new HashMap<>();
    private final VirtualTime virtualTime;
    private int size;

    public FairQueue(VirtualTime virtualTime) {
        this.virtualTime = virtualTime;
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

    /** Returns the request that runs next, without removing it. */
    public Optional<Entry> next() {
        return byWorkspace.entrySet().stream()
                .min(Comparator.comparingDouble(
                                (Map.Entry<String, TreeSet<Entry>> e) -> virtualTime.startOf(e.getKey()))
                        .thenComparing(e -> e.getValue().first()))
                .map(e -> e.getValue().first());
    }

    /** Returns the last request of the workspace with the most waiting requests. */
    public Optional<Entry> lastOfLargestWorkspace() {
        return byWorkspace.values().stream()
                .max(Comparator.comparingInt(TreeSet::size))
                .map(TreeSet::last);
    }

    /** Returns the number of waiting requests that run before the given one, assuming that workspaces alternate. */
    public int countAhead(Entry entry) {
        TreeSet<Entry> own = byWorkspace.get(entry.request().workspace());
        int ownAhead = own == null ? 0 : own.headSet(entry).size();
        int total = ownAhead;
        for (TreeSet<Entry> other : byWorkspace.values()) {
            total += other == own ? 0 : Math.min(other.size(), ownAhead + 1);
        }
        return total;
    }

    /** Returns the waiting requests that match the condition. */
    public Iterable<Entry> matching(Predicate<Entry> condition) {
        return byWorkspace.values().stream()
                .flatMap(TreeSet::stream)
                .filter(condition)
                .toList();
    }
}
