package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.time.ManualClock;
import io.hornbeamfield.router.control.ControlLoop;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** A control loop that runs on the test thread and on the time of a manual clock. Several routers may share it. */
final class ManualLoop implements ControlLoop {
    private record Task(Instant at, long number, Runnable action) {}

    private final ManualClock clock = ManualClock.atEpochSecond(1_000);
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparing(Task::at).thenComparing(Task::number));
    private long number;

    @Override
    public Clock clock() {
        return clock;
    }

    @Override
    public void execute(Runnable task) {
        after(Duration.ZERO, task);
    }

    @Override
    public void after(Duration delay, Runnable task) {
        tasks.add(new Task(now().plus(delay), number++, task));
    }

    /** Runs the tasks that are due now. */
    void run() {
        advance(Duration.ZERO);
    }

    /** Advances the clock and runs each task when it is due. */
    void advance(Duration step) {
        Instant end = now().plus(step);
        for (Task next = tasks.peek(); next != null && !next.at().isAfter(end); next = tasks.peek()) {
            tasks.remove();
            if (next.at().isAfter(now())) {
                clock.advance(Duration.between(now(), next.at()));
            }
            next.action().run();
        }
        clock.advance(Duration.between(now(), end));
    }

    void advanceMillis(long millis) {
        advance(Duration.ofMillis(millis));
    }

    @Override
    public void close() {}
}
