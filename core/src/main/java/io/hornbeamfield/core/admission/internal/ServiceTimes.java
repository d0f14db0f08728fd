package io.hornbeamfield.core.admission.internal;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/** Moving averages of the time that requests hold a slot, over all workspaces and for each of the latest ones. */
public final class ServiceTimes {
    private static final int MAX_WORKSPACES = 10_000;

    /** Weight of a new measurement. A change of load shows after about ten requests. */
    private static final double WEIGHT = 0.1;

    private final Average all = new Average();
    private final Map<String, Average> byWorkspace = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Average> eldest) {
            return size() > MAX_WORKSPACES;
        }
    };

    /** Records a measurement. */
    public void measured(String workspace, Duration held) {
        double millis = held.toNanos() / 1e6;
        all.add(millis);
        byWorkspace.computeIfAbsent(workspace, w -> new Average()).add(millis);
    }

    /** Returns the mean over all workspaces in milliseconds, 0 before the first measurement. */
    public double meanMillis() {
        return all.mean;
    }

    /** Returns a time in which most requests of a workspace end: the mean plus the mean deviation. */
    public double likelyMillis(String workspace) {
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
