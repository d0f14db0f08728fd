package io.hornbeamfield.core.admission.internal;

import java.util.HashMap;
import java.util.Map;

/**
 * Virtual time of start-time fair queueing. The virtual start of a workspace's next request is the virtual end of its
 * last one, but not before the virtual start of the last request of any workspace.
 */
public final class VirtualTime {
    private static final int CLEANUP_THRESHOLD = 1_024;

    private final Map<String, Double> ends = new HashMap<>();
    private double now;

    /** Returns the virtual start of the next request of a workspace. */
    public double startOf(String workspace) {
        return Math.max(now, ends.getOrDefault(workspace, 0.0));
    }

    /** Charges a workspace for a request that starts. */
    public void charge(String workspace, long cost) {
        now = startOf(workspace);
        ends.put(workspace, now + Math.max(1, cost));
        if (ends.size() > CLEANUP_THRESHOLD) {
            ends.values().removeIf(end -> end <= now);
        }
    }
}
