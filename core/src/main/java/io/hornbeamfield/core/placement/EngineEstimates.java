package io.hornbeamfield.core.placement;

import java.time.Clock;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Estimates of the speed and load of the engines of one service, learned from this instance's own streams.
 *
 * <p>Designed for a hundred engines of different, undeclared speeds behind a hundred instances, so that an instance
 * sends a request to an engine about every 17 s only. The event interval is the main source, because each stream has
 * about 30 of them: its tenth percentile follows the speed of the engine, its excess over that the load. Speeds decay
 * to the median of the service, loads to none. Not thread-safe.
 *
 * <pre>{@code
 * estimates.incarnation("e1", startedAtMs);
 * estimates.intervals("e1", 34.5);
 * double ms = estimates.loadMs("e1");
 * }</pre>
 */
public final class EngineEstimates {
    /** Number of engines whose figures are kept; the one that was used least recently is dropped. */
    static final int MAX_ENGINES = 512;

    /** Speeds further apart than this between the 10th and the 90th percentile make a service uneven. */
    private static final double UNEVEN_RATIO = 1.75;

    /** Lower ratio at which an uneven service becomes even again, so that the policy does not alternate. */
    private static final double EVEN_RATIO = 1.5;

    private static final double LOW_PERCENTILE = 0.1;
    private static final double HIGH_PERCENTILE = 0.9;

    /** Initial prefill speed; the median of the service replaces it. */
    private static final double INITIAL_TOKENS_PER_MS = 125;

    /** A shorter prefill is hidden by the step in which it runs. */
    private static final long MIN_PREFILL_TOKENS = 1_000;

    /**
     * Number of samples after which an engine's speed counts, about one stream. With half of it and smaller changes by
     * the first samples, a burst made engines of one speed look uneven to most instances in the replay.
     */
    private static final int MIN_SAMPLES = 8;

    /** Samples that the median of the service counts for in the prefill speed of one engine. */
    private static final double PRIOR_SAMPLES = 3;

    private static final double LOW_QUANTILE = 0.1;
    private static final double HIGH_QUANTILE = 0.75;

    /** Largest relative change of a new figure by one sample; it falls to the smallest one with the samples. */
    private static final double MAX_CHANGE = 1;

    /** Relative change of a settled figure by one sample, so that an engine recovers over several samples. */
    private static final double MIN_CHANGE = 0.1;

    /** An engine that is slower than its peers still gets work, which shows when it recovers. */
    private static final double MIN_SPEED = 0.3;

    private static final double MAX_SPEED = 3;

    /** Bursts last from 3 to 7 s, so an older load figure says little. */
    private static final double LOAD_DECAY_MS = 2_000;

    /** About ten requests of one instance to one engine. */
    private static final double SPEED_DECAY_MS = 180_000;

    /** Wait assumed at an engine that has refused a request; it exceeds the objectives of most requests. */
    private static final double FULL_WAIT_MS = 1_000;

    private static final double LOAD_WEIGHT = 0.5;
    private static final long SUMMARY_TTL_MS = 250;

    private final Clock clock;
    private final Map<String, Engine> engines = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Engine> eldest) {
            return size() > MAX_ENGINES;
        }
    };
    private Summary summary = new Summary(0, INITIAL_TOKENS_PER_MS, 1, 0);
    private long summarizedMs = Long.MIN_VALUE;
    private boolean uneven;

    /** Medians over the engines of the service, the ratio of their speeds, and how many have one. */
    private record Summary(double intervalMs, double tokensPerMs, double ratio, int engines) {}

    /** Figures of one engine; a figure without samples is 0. */
    private static final class Engine {
        private long startedAtMs;
        private final long seenMs;
        private double intervalMs;
        private int intervalSamples;
        private double tokensPerMs;
        private int prefillSamples;
        private double waitMs;
        private double excessMs;
        private double errorMs;
        private long waitAtMs;
        private long excessAtMs;
        private long speedAtMs;

        Engine(long startedAtMs, long seenMs) {
            this.startedAtMs = startedAtMs;
            this.seenMs = seenMs;
        }
    }

    public EngineEstimates(Clock clock) {
        this.clock = clock;
    }

    /** Records the start time of an engine, 0 if unknown; an engine that has restarted has no history. */
    public void incarnation(String id, long startedAtMs) {
        Engine known = engines.get(id);
        if (known == null) {
            // The cache of an engine that was running before this instance is in use by others.
            engines.put(id, new Engine(startedAtMs, Long.MIN_VALUE));
        } else if (known.startedAtMs == 0) {
            known.startedAtMs = startedAtMs;
        } else if (startedAtMs != 0 && known.startedAtMs != startedAtMs) {
            engines.put(id, new Engine(startedAtMs, clock.millis()));
        }
    }

    /** Drops the figures of all engines but the given ones. */
    public void retain(Set<String> ids) {
        engines.keySet().retainAll(ids);
    }

    /** Returns the time since this instance saw the engine restart, a very long time if it has not. */
    public long sinceRestartMs(String id) {
        Engine e = engines.get(id);
        return e == null || e.seenMs == Long.MIN_VALUE ? Long.MAX_VALUE : clock.millis() - e.seenMs;
    }

    /** Records the mean interval over a few consecutive events of one stream. */
    public void intervals(String id, double meanMs) {
        Engine e = engines.get(id);
        if (e == null || !(meanMs > 0)) {
            return;
        }
        long now = clock.millis();
        e.intervalMs = track(e.intervalMs, meanMs, LOW_QUANTILE, ++e.intervalSamples);
        e.speedAtMs = now;
        double old = decayed(e.excessMs, e.excessAtMs, now);
        e.excessMs = old + LOAD_WEIGHT * (Math.max(0, meanMs - e.intervalMs) - old);
        e.excessAtMs = now;
    }

    /**
     * Records the time from sending a request to its first event.
     *
     * @param ownTokens prompt tokens that were certainly not cached
     * @param expectedMs estimate of the time when the request was sent
     * @param prefillMs part of the estimate that the prefill takes
     */
    public void firstEvent(String id, long ownTokens, double expectedMs, double prefillMs, long ms) {
        Engine e = engines.get(id);
        if (e == null) {
            return;
        }
        long now = clock.millis();
        if (ownTokens >= MIN_PREFILL_TOKENS && ms > 0) {
            // Waits and prefixes that were not cached make the rate too low, so a high quantile is tracked.
            e.tokensPerMs = track(e.tokensPerMs, ownTokens / (double) ms, HIGH_QUANTILE, ++e.prefillSamples);
            e.speedAtMs = now;
        }
        recordWait(e, Math.max(0, ms - prefillMs));
        e.errorMs += LOAD_WEIGHT * (Math.abs(ms - expectedMs) - e.errorMs);
    }

    /** Records that the engine refused a request because its slots and its queue are full. */
    public void refused(String id) {
        Engine e = engines.get(id);
        if (e != null) {
            recordWait(e, 2 * FULL_WAIT_MS);
        }
    }

    private void recordWait(Engine e, double ms) {
        long now = clock.millis();
        double old = decayed(e.waitMs, e.waitAtMs, now);
        e.waitMs = old + LOAD_WEIGHT * (ms - old);
        e.waitAtMs = now;
    }

    /** Moves a quantile estimate by a bounded share of itself, so that no single sample changes it much. */
    private static double track(double estimate, double sample, double quantile, int samples) {
        if (samples == 1) {
            return sample;
        }
        double change = Math.max(MIN_CHANGE, MAX_CHANGE / samples);
        return sample > estimate
                ? Math.min(sample, estimate * (1 + change * quantile))
                : Math.max(sample, estimate * (1 - change * (1 - quantile)));
    }

    private static double decayed(double value, long atMs, long nowMs) {
        return value * Math.exp(-Math.max(0, nowMs - atMs) / LOAD_DECAY_MS);
    }

    /** Returns the expected wait of a request at the engine, without its prefill. */
    public double waitMs(String id) {
        Engine e = engines.get(id);
        return e == null ? 0 : decayed(e.waitMs, e.waitAtMs, clock.millis());
    }

    /** Returns by how much the load of the engine lengthens the interval between two events of a stream. */
    public double loadMs(String id) {
        Engine e = engines.get(id);
        return e == null ? 0 : decayed(e.excessMs, e.excessAtMs, clock.millis());
    }

    /** Returns the event interval of the engine without load, 0 if no engine of the service has one. */
    public double intervalMs(String id) {
        return summary().intervalMs() / speed(id);
    }

    /** Returns the speed of the engine as a multiple of the median of the service. */
    public double speed(String id) {
        Engine e = engines.get(id);
        return e == null || e.intervalSamples < MIN_SAMPLES ? 1 : speed(e);
    }

    private double speed(Engine e) {
        double ratio = summary().intervalMs() / e.intervalMs;
        return clamp(1 + (ratio - 1) * freshness(e));
    }

    /** Returns the prefill speed of the engine. */
    public double tokensPerMs(String id) {
        double prior = summary().tokensPerMs() * speed(id);
        Engine e = engines.get(id);
        if (e == null) {
            return prior;
        }
        double weight = e.prefillSamples * freshness(e);
        return (prior * PRIOR_SAMPLES + e.tokensPerMs * weight) / (PRIOR_SAMPLES + weight);
    }

    /** Returns the moving mean of the error of the time to the first event. */
    public double errorMs(String id) {
        Engine e = engines.get(id);
        return e == null ? 0 : e.errorMs;
    }

    /** Returns the age of the speed of the engine, a very long time if it has none. */
    public long speedAgeMs(String id) {
        Engine e = engines.get(id);
        return e == null || e.speedAtMs == 0 ? Long.MAX_VALUE : clock.millis() - e.speedAtMs;
    }

    private double freshness(Engine e) {
        return Math.exp(-Math.max(0, clock.millis() - e.speedAtMs) / SPEED_DECAY_MS);
    }

    private static double clamp(double speed) {
        return Math.max(MIN_SPEED, Math.min(MAX_SPEED, speed));
    }

    /** Returns whether any speed has been learned. */
    public boolean isKnown() {
        return summary().engines() > 0;
    }

    /** Returns whether the speeds of at least half of the known engines are learned and differ clearly. */
    public boolean isUneven() {
        Summary s = summary();
        boolean enough = s.engines() > 1 && 2 * s.engines() >= engines.size();
        uneven = enough && s.ratio() > (uneven ? EVEN_RATIO : UNEVEN_RATIO);
        return uneven;
    }

    /** Returns the number of engines whose learned speed is at least one bound and less than the other. */
    public long countBySpeed(double from, double below) {
        // An access would reorder the map during the iteration.
        return engines.values().stream()
                .filter(e -> e.intervalSamples >= MIN_SAMPLES)
                .mapToDouble(this::speed)
                .filter(s -> s >= from && s < below)
                .count();
    }

    private Summary summary() {
        long now = clock.millis();
        if (summarizedMs == Long.MIN_VALUE || now - summarizedMs >= SUMMARY_TTL_MS) {
            summarizedMs = now;
            double[] intervals = engines.values().stream()
                    .filter(e -> e.intervalSamples >= MIN_SAMPLES)
                    .mapToDouble(e -> e.intervalMs)
                    .sorted()
                    .toArray();
            double[] rates = engines.values().stream()
                    .filter(e -> e.prefillSamples > 0)
                    .mapToDouble(e -> e.tokensPerMs)
                    .sorted()
                    .toArray();
            double ratio = intervals.length == 0 ? 1 : at(intervals, HIGH_PERCENTILE) / at(intervals, LOW_PERCENTILE);
            summary = new Summary(
                    intervals.length == 0 ? 0 : at(intervals, 0.5),
                    rates.length == 0 ? INITIAL_TOKENS_PER_MS : at(rates, 0.5),
                    ratio,
                    intervals.length);
        }
        return summary;
    }

    private static double at(double[] sorted, double quantile) {
        return sorted[(int) Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))];
    }
}
