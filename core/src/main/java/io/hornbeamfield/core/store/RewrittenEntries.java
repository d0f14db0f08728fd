package io.hornbeamfield.core.store;

import java.time.Clock;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The entries of one kind in a store that may come back from an older copy. Writers write again what the copy lacks;
 * until they have had the time for that, an entry that was known before the restore counts in place of a missing or
 * older one. Not thread-safe.
 *
 * <pre>{@code
 * Map<String, Member> members = entries.listed(list.revision(), listedMembers);
 * }</pre>
 */
public final class RewrittenEntries<V> {
    private final Clock clock;
    private final long rewriteMs;
    private final Map<String, V> beforeRestore = new HashMap<>();
    private final Map<String, V> ofCopy = new HashMap<>();
    private final Set<String> seenSinceRestore = new HashSet<>();
    private Map<String, V> current = Map.of();
    private long generation = StoreRevision.NONE.generation();
    private long restoreEndsMs;

    /**
     * Creates a state without entries.
     *
     * @param rewriteMs time in milliseconds within which writers write again what the store has lost
     */
    public RewrittenEntries(Clock clock, long rewriteMs) {
        this.clock = clock;
        this.rewriteMs = rewriteMs;
    }

    /** Applies a complete list that was read at a revision. Returns the entries that count by name. */
    public Map<String, V> listed(StoreRevision revision, Map<String, V> entries) {
        long now = clock.millis();
        if (revision.generation() != generation) {
            beginGeneration(revision.generation(), now, entries);
        }
        if (now >= restoreEndsMs) {
            beforeRestore.clear();
            ofCopy.clear();
            seenSinceRestore.clear();
        }
        seenSinceRestore.addAll(entries.keySet());
        Map<String, V> next = new HashMap<>(entries);
        beforeRestore.forEach((name, value) -> {
            V listed = entries.get(name);
            boolean lost = listed == null ? !seenSinceRestore.contains(name) : listed.equals(ofCopy.get(name));
            if (lost) {
                next.put(name, value);
            }
        });
        current = Map.copyOf(next);
        return current;
    }

    private void beginGeneration(long next, long now, Map<String, V> entries) {
        boolean restored = generation != StoreRevision.NONE.generation();
        generation = next;
        beforeRestore.clear();
        ofCopy.clear();
        seenSinceRestore.clear();
        if (restored) {
            beforeRestore.putAll(current);
            ofCopy.putAll(entries);
            restoreEndsMs = now + rewriteMs;
        }
    }

    /** Returns whether entries of before a restore still count, so that they must be judged again later. */
    public boolean isBeingRewritten() {
        return clock.millis() < restoreEndsMs && !beforeRestore.isEmpty();
    }
}
