package io.hornbeamfield.load.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/** Counts and times of a run, from the end of its warm-up. */
final class RunResult {
    private final long countFromMicros;
    private final Map<String, Histogram> firstTokens = new HashMap<>();
    private final Histogram nextTokens = new Histogram(3);
    private final Map<String, Long> offered = new HashMap<>();
    private final Map<String, Long> finished = new HashMap<>();
    private final Map<Long, long[]> bySecond = new HashMap<>();
    private long promptTokens;
    private long hitTokens;

    RunResult(long countFromMicros) {
        this.countFromMicros = countFromMicros;
    }

    private boolean counts(TraceRequest r) {
        return r.atMicros() >= countFromMicros;
    }

    void offered(TraceRequest r) {
        bySecond.computeIfAbsent(r.atMicros() / 1_000_000, s -> new long[3])[0]++;
        if (counts(r)) {
            offered.merge(r.workspace(), 1L, Long::sum);
        }
    }

    void refused(TraceRequest r) {
        bySecond.computeIfAbsent(r.atMicros() / 1_000_000, s -> new long[3])[2]++;
    }

    void firstToken(TraceRequest r, long micros) {
        if (counts(r)) {
            firstTokens.computeIfAbsent(r.workspace(), w -> new Histogram(3)).recordValue(micros);
        }
    }

    void nextToken(TraceRequest r, long micros) {
        if (counts(r)) {
            nextTokens.recordValue(micros);
        }
    }

    void finished(TraceRequest r, long atMicros) {
        bySecond.computeIfAbsent(r.atMicros() / 1_000_000, s -> new long[3])[1]++;
        if (counts(r)) {
            finished.merge(r.workspace(), 1L, Long::sum);
        }
    }

    void addPrompts(long prompt, long hit) {
        promptTokens += prompt;
        hitTokens += hit;
    }

    double firstTokenMs(double percentile, Predicate<String> workspaces) {
        Histogram all = new Histogram(3);
        firstTokens.forEach((w, h) -> {
            if (workspaces.test(w)) {
                all.add(h);
            }
        });
        return all.getValueAtPercentile(percentile) / 1_000.0;
    }

    double nextTokenMs(double percentile) {
        return nextTokens.getValueAtPercentile(percentile) / 1_000.0;
    }

    double hitShare() {
        return promptTokens == 0 ? 0 : (double) hitTokens / promptTokens;
    }

    /** Returns the share of the requests of the given workspaces that ended within their deadline. */
    double goodShare(Predicate<String> workspaces) {
        return (double) sum(finished, workspaces) / Math.max(1, sum(offered, workspaces));
    }

    /** Returns the share of the requests that arrived in the given seconds and were refused without running. */
    double refusedShare(long fromSecond, long toSecond) {
        return total(fromSecond, toSecond, 2) / (double) Math.max(1, total(fromSecond, toSecond, 0));
    }

    /** Returns the share of the requests that arrived in the given seconds, ran and did not end in time. */
    double cutOffShare(long fromSecond, long toSecond) {
        long offeredThen = total(fromSecond, toSecond, 0);
        long cutOff = offeredThen - total(fromSecond, toSecond, 1) - total(fromSecond, toSecond, 2);
        return cutOff / (double) Math.max(1, offeredThen);
    }

    /** Returns the requests that arrived in the given seconds and ended within their deadline, per second. */
    double goodput(long fromSecond, long toSecond) {
        return total(fromSecond, toSecond, 1) / (double) (toSecond - fromSecond);
    }

    /** Returns the seconds after the given one until at least 99 of 100 arrivals of two seconds in a row are served. */
    long recoverySeconds(long fromSecond, long toSecond) {
        for (long s = fromSecond; s + 1 < toSecond; s++) {
            if (total(s, s + 2, 1) >= 0.99 * total(s, s + 2, 0)) {
                return s - fromSecond;
            }
        }
        return -1;
    }

    private long total(long from, long to, int column) {
        long sum = 0;
        for (long s = from; s < to; s++) {
            long[] counts = bySecond.get(s);
            sum += counts == null ? 0 : counts[column];
        }
        return sum;
    }

    private static long sum(Map<String, Long> counts, Predicate<String> workspaces) {
        return counts.entrySet().stream()
                .filter(e -> workspaces.test(e.getKey()))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }
}
