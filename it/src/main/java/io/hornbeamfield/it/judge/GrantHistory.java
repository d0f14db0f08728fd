package io.hornbeamfield.it.judge;

import java.util.Map;
import java.util.TreeMap;

/** Tokens granted to a budget over time. */
public final class GrantHistory {
    private final TreeMap<Long, Long> grantedFrom = new TreeMap<>();

    /** Records that the budget had this grant from the given epoch millisecond on. */
    public synchronized GrantHistory grantedAt(long epochMs, long tokens) {
        grantedFrom.put(epochMs, tokens);
        return this;
    }

    /** Returns the grant at a time. */
    public synchronized long at(long epochMs) {
        Map.Entry<Long, Long> entry = grantedFrom.floorEntry(epochMs);
        return entry == null ? 0 : entry.getValue();
    }

    /** Returns the last grant. */
    public synchronized long last() {
        return grantedFrom.isEmpty() ? 0 : grantedFrom.lastEntry().getValue();
    }
}
