package io.hornbeamfield.core.admission.internal;

import java.util.HashMap;
import java.util.Map;

/**
 * Virtual time of start-time fair queueing: a workspace's next request starts, in virtual time, where its last one
 * ended, but not before the virtual time at which the last request of any workspace started.
 */
public final class FairShares {
    private static final int CLEAN_ABOVE = 1_024;

    private final Map<String, Double> ends = new HashMap<>();
    private double now;

    /** Returns the virtual start of the next request of a workspace. */
    public double startOf(String workspace) {
        return Math.max(now, ends.getOrDefault(workspace, 0.0));
    }

    /** Charges a workspace for a request that starts. */
    public void started(String workspace, long cost) {
        now = startOf(workspace);
        ends.put(workspace, now + Math.max(1, cost));
        if (ends.size() > CLEAN_ABOVE) {
            ends.values().removeIf(end -> end <= now);
        }
    }
}
