package io.hornbeamfield.load.simulation;

import io.hornbeamfield.core.time.ManualClock;
import java.time.Clock;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Simulated time: runs actions in the order of their times and moves a clock along with them. All times are whole
 * numbers of one unit; actions of the same time run in the order in which they were added.
 *
 * <pre>{@code
 * SimulatedTime time = new SimulatedTime(ChronoUnit.MILLIS);
 * time.after(500, () -> arrive(request));
 * time.runUntil(60_000);
 * }</pre>
 */
public final class SimulatedTime {
    private record Event(long at, long sequence, Runnable action) {}

    private final ChronoUnit unit;
    private final ManualClock clock = ManualClock.atEpochSecond(0);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
    private long now;
    private long sequence;

    /** Starts at 0. */
    public SimulatedTime(ChronoUnit unit) {
        this.unit = unit;
    }

    /** Returns the time now. */
    public long now() {
        return now;
    }

    /** Returns a clock that shows the simulated time. */
    public Clock clock() {
        return clock;
    }

    /** Runs an action at the given time, or now if that time has passed. */
    public void at(long time, Runnable action) {
        events.add(new Event(Math.max(now, time), sequence++, action));
    }

    /** Runs an action after the given time. */
    public void after(long delay, Runnable action) {
        at(now + delay, action);
    }

    /** Runs all actions up to the given time. */
    public void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event next = events.remove();
            clock.advance(Duration.of(next.at() - now, unit));
            now = next.at();
            next.action().run();
        }
    }
}
