package io.hornbeamfield.core.admission.internal;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/** Moving averages of slot holding times, over all workspaces and for each of the most recently used ones. */
public final class ServiceTimes {
    private static final int MAX_WORKSPACES = 10_000;

    /** Weight of a new sample; the averages follow a change of load within about ten requests. */
    private static final double WEIGHT = 0.1;

    private final Average all = new Average();
    private final Map<String, Average> byWorkspace = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Average> eldest) {
            return size() > MAX_WORKSPACES;
        }
    };

    /** Records the time for which a request held its slot. */
    public void record(String workspace, Duration held) {
        double millis = held.toNanos() / 1e6;
        all.add(millis);
        byWorkspace.computeIfAbsent(workspace, w -> new Average()).add(millis);
    }

    /** Returns the mean over all workspaces in milliseconds, 0 before the first sample. */
    public double meanMillis() {
        return all.mean;
    }

    /** Returns a time within which most requests of a workspace end: the mean plus the mean absolute deviation. */
    public double upperEstimateMillis(String workspace) {
        Average own = byWorkspace.get(workspace);
        Average used = own == null ? all : own;
        return used.mean + used.deviation;
    }

    private static final class Average {
        private double mean;
        private double deviation;
        private boolean started;

        void add(double value) {
            if (!started) {
                started = true;
                mean = value;
                return;
            }
            deviation += WEIGHT * (Math.abs(value - mean) - deviation);
            mean += WEIGHT * (value - mean);
        }
    }
}
