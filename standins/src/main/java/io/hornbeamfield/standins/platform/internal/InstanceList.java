package io.hornbeamfield.standins.platform.internal;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.TreeMap;

/** Instance list that shows each change only after a lag. */
public final class InstanceList {
    /** An entry as the API shows it. */
    public record Entry(String id, String kind, String address, String zone, String state) {}

    private record Snapshot(Instant since, TreeMap<String, Entry> entries) {}

    private final Clock clock;
    private final Deque<Snapshot> history = new ArrayDeque<>();

    public InstanceList(Clock clock) {
        this.clock = clock;
        history.add(new Snapshot(Instant.EPOCH, new TreeMap<>()));
    }

    /** Adds or replaces an entry. */
    public synchronized void put(Entry entry) {
        TreeMap<String, Entry> next = new TreeMap<>(history.getLast().entries());
        next.put(entry.id(), entry);
        history.add(new Snapshot(clock.instant(), next));
    }

    /** Removes an entry. */
    public synchronized void remove(String id) {
        TreeMap<String, Entry> next = new TreeMap<>(history.getLast().entries());
        next.remove(id);
        history.add(new Snapshot(clock.instant(), next));
    }

    /** Returns the list as it was the given time ago. */
    public synchronized Collection<Entry> entries(Duration lag) {
        Instant asOf = clock.instant().minus(lag);
        Snapshot shown = history.getFirst();
        for (Snapshot s : history) {
            if (s.since().isAfter(asOf)) {
                break;
            }
            shown = s;
        }
        return shown.entries().values();
    }
}
