package io.hornbeamfield.standins.platform.internal;

import java.util.Map;
import java.util.TreeMap;

/** Counts calls by kind, and reads and writes by the first segment of the key. */
public final class CallCounters {
    private final Map<String, Long> kinds = new TreeMap<>();
    private final Map<String, Long> readsByPrefix = new TreeMap<>();
    private final Map<String, Long> writesByPrefix = new TreeMap<>();

    public CallCounters() {
        for (String kind : new String[] {
            "reads", "writes", "watches", "lists", "instances", "rejected", "conflicts", "lostAnswers", "staleReads"
        }) {
            kinds.put(kind, 0L);
        }
    }

    /** Counts an event. */
    public synchronized void count(String kind) {
        kinds.merge(kind, 1L, Long::sum);
    }

    /** Counts a read of a key, a list or a watch. */
    public synchronized void countRead(String kind, String key) {
        count(kind);
        readsByPrefix.merge(prefix(key), 1L, Long::sum);
    }

    /** Counts a conditional update. */
    public synchronized void countWrite(String key) {
        count("writes");
        writesByPrefix.merge(prefix(key), 1L, Long::sum);
    }

    /** Returns all counts. */
    public synchronized Map<String, Object> snapshot() {
        Map<String, Object> all = new TreeMap<>(kinds);
        all.put("readsByPrefix", new TreeMap<>(readsByPrefix));
        all.put("writesByPrefix", new TreeMap<>(writesByPrefix));
        return all;
    }

    private static String prefix(String key) {
        int slash = key.indexOf('/');
        return slash < 0 ? key : key.substring(0, slash);
    }
}
