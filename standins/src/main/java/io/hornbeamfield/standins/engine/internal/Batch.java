package io.hornbeamfield.standins.engine.internal;

import io.hornbeamfield.standins.internal.Answers;
import java.time.Clock;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * Continuous batching: each step gives one token to every running request whose prompt has been read; free slots are
 * filled from the waiting requests by priority and arrival before each step. Prompts are read one after the other.
 */
final class Batch implements AutoCloseable {
    /** A step that is later than this is not caught up, for example after the process was stopped by a signal. */
    private static final long MAX_CATCH_UP_NANOS = 100_000_000;

    private final BatchTiming timing;
    private final PrefixCache cache;
    private final Clock clock;
    private final DoubleSupplier slowdown;
    private final ScheduledExecutorService steps = Answers.timer("engine-steps");
    private final PriorityQueue<Run> waiting = new PriorityQueue<>(
            Comparator.comparing((Run r) -> r.request().priority()).thenComparingLong(Run::arrival));
    private final List<Run> running = new ArrayList<>();
    private long prefillBusyUntil;
    private long plannedNanos;
    private boolean stepPlanned;

    Batch(BatchTiming timing, PrefixCache cache, Clock clock, DoubleSupplier slowdown) {
        this.timing = timing;
        this.cache = cache;
        this.clock = clock;
        this.slowdown = slowdown;
    }

    synchronized void submit(Run run) {
        waiting.add(run);
        if (!stepPlanned) {
            stepPlanned = true;
            plannedNanos = System.nanoTime();
            steps.execute(this::step);
        }
    }

    synchronized void cancel(Run run) {
        waiting.remove(run);
        running.remove(run);
        run.cancel(clock.millis());
    }

    synchronized int runningCount() {
        return running.size();
    }

    synchronized int waitingCount() {
        return waiting.size();
    }

    synchronized long contextTokens() {
        return running.stream().mapToLong(r -> r.promptTokens() + r.produced()).sum();
    }

    private synchronized void step() {
        long now = System.nanoTime();
        fillSlots(now);
        for (Iterator<Run> it = running.iterator(); it.hasNext(); ) {
            if (it.next().step(now, clock.millis())) {
                it.remove();
            }
        }
        fillSlots(now);
        stepPlanned = !running.isEmpty();
        if (stepPlanned) {
            planNext(now);
        }
    }

    private void fillSlots(long now) {
        while (running.size() < timing.slots() && !waiting.isEmpty()) {
            Run run = waiting.remove();
            long start = prefillBusyUntil - now > 0 ? prefillBusyUntil : now;
            prefillBusyUntil = start + timing.prefillNanos(cache.readThrough(run.request()));
            run.startPrefill(prefillBusyUntil);
            running.add(run);
        }
    }

    private void planNext(long now) {
        plannedNanos += timing.stepNanos(running.size(), slowdown.getAsDouble());
        if (now - plannedNanos > MAX_CATCH_UP_NANOS) {
            plannedNanos = now;
        }
        try {
            steps.schedule(this::step, Math.max(0, plannedNanos - now), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            stepPlanned = false;
        }
    }

    @Override
    public void close() {
        steps.shutdownNow();
    }
}
