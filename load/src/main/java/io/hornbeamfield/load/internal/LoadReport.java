package io.hornbeamfield.load.internal;

import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** The figures of a run. Latencies are in milliseconds. */
public record LoadReport(
        double seconds,
        long sent,
        long notSent,
        long lateSends,
        long answeredWithinDeadline,
        double goodputPerSecond,
        long tokens,
        Latency timeToFirstToken,
        Latency betweenTokens,
        Map<String, Latency> wholeByOutcome) {

    /** Count and percentiles of one latency. */
    public record Latency(long count, double mean, double p50, double p95, double p99, double max) {
        static Latency of(Histogram h) {
            return new Latency(
                    h.getTotalCount(),
                    millis(h.getTotalCount() == 0 ? 0 : h.getMean()),
                    millis(h.getValueAtPercentile(50)),
                    millis(h.getValueAtPercentile(95)),
                    millis(h.getValueAtPercentile(99)),
                    millis(h.getMaxValue()));
        }

        private static double millis(double micros) {
            return Math.round(micros) / 1000.0;
        }
    }

    /** Renders the report as a table. */
    public String table() {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                Locale.ROOT,
                "%.1f s, %d sent, %d not sent (too many in flight), %d sent late, %d answered within deadline (%.1f/s),"
                        + " %d tokens%n",
                seconds,
                sent,
                notSent,
                lateSends,
                answeredWithinDeadline,
                goodputPerSecond,
                tokens));
        text.append(String.format(
                Locale.ROOT, "%-34s %8s %9s %9s %9s %9s %9s%n", "ms", "count", "mean", "p50", "p95", "p99", "max"));
        row(text, "time to first token", timeToFirstToken);
        row(text, "between tokens", betweenTokens);
        wholeByOutcome.forEach((outcome, latency) -> row(text, "whole: " + outcome, latency));
        return text.toString();
    }

    private static void row(StringBuilder text, String name, Latency l) {
        text.append(String.format(
                Locale.ROOT,
                "%-34s %8d %9.1f %9.1f %9.1f %9.1f %9.1f%n",
                name,
                l.count(),
                l.mean(),
                l.p50(),
                l.p95(),
                l.p99(),
                l.max()));
    }
}
