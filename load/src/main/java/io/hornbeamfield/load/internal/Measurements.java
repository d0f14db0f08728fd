package io.hornbeamfield.load.internal;

import io.hornbeamfield.client.Outcome;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Latencies in microseconds and counts by outcome. */
public final class Measurements {
    private static final long MAX_MICROS = 600_000_000;

    private final Histogram firstToken = new Histogram(MAX_MICROS, 3);
    private final Histogram betweenTokens = new Histogram(MAX_MICROS, 3);
    private final Map<String, Histogram> wholeByOutcome = new TreeMap<>();
    private long withinDeadline;
    private long tokens;
    private long notSent;
    private long lateSends;

    synchronized void firstToken(long nanos) {
        record(firstToken, nanos);
    }

    synchronized void betweenTokens(long nanos) {
        record(betweenTokens, nanos);
    }

    synchronized void ended(Outcome outcome, long nanos, long deadlineMs) {
        record(wholeByOutcome.computeIfAbsent(name(outcome), n -> new Histogram(MAX_MICROS, 3)), nanos);
        if (outcome instanceof Outcome.Answered answered) {
            tokens += answered.promptTokens() + answered.completionTokens();
            if (answered.status() < 400 && nanos <= deadlineMs * 1_000_000) {
                withinDeadline++;
            }
        }
    }

    /** Counts a request that was left out because too many were in flight. */
    synchronized void notSent() {
        notSent++;
    }

    /** Counts a request that was sent more than 50 ms after its time, so that an overloaded tool shows. */
    synchronized void lateSend() {
        lateSends++;
    }

    private static void record(Histogram histogram, long nanos) {
        histogram.recordValue(Math.max(0, Math.min(nanos / 1000, MAX_MICROS)));
    }

    private static String name(Outcome outcome) {
        if (outcome instanceof Outcome.Answered answered) {
            return answered.status() < 400 ? "answered" : "answered " + answered.status();
        }
        return outcome instanceof Outcome.RefusedNotRun refused
                ? "notRun " + refused.refusal().code()
                : "unknown " + ((Outcome.OutcomeUnknown) outcome).refusal().code();
    }

    /** Returns the report over a run of the given length. */
    public synchronized LoadReport report(double seconds) {
        Map<String, LoadReport.Latency> whole = new TreeMap<>();
        wholeByOutcome.forEach((outcome, h) -> whole.put(outcome, LoadReport.Latency.of(h)));
        long sent = wholeByOutcome.values().stream()
                .mapToLong(Histogram::getTotalCount)
                .sum();
        return new LoadReport(
                seconds,
                sent,
                notSent,
                lateSends,
                withinDeadline,
                withinDeadline / seconds,
                tokens,
                LoadReport.Latency.of(firstToken),
                LoadReport.Latency.of(betweenTokens),
                whole);
    }
}
