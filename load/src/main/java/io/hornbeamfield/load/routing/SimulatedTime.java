package io.hornbeamfield.load.routing;

import io.hornbeamfield.core.time.ManualClock;
import java.time.Clock;
import java.time.Duration;
import java.util.PriorityQueue;

/** Simulated time: runs actions in the order of their times and moves a clock along with them. */
final class SimulatedTime {
    private record Event(long atMicros, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMicros, other.atMicros);
            return byTime == 0 ? Long.compare(sequence, other.sequence) : byTime;
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final ManualClock clock = ManualClock.atEpochSecond(0);
    private long now;
    private long sequence;

    long nowMicros() {
        return now;
    }

    Clock clock() {
        return clock;
    }

    void at(long micros, Runnable action) {
        events.add(new Event(Math.max(now, micros), sequence++, action));
    }

    void after(long micros, Runnable action) {
        at(now + micros, action);
    }

    /** Runs all events up to the given time. */
    void runUntil(long endMicros) {
        while (!events.isEmpty() && events.peek().atMicros() <= endMicros) {
            Event next = events.remove();
            clock.advance(Duration.ofNanos((next.atMicros() - now) * 1_000));
            now = next.atMicros();
            next.action().run();
        }
    }
}
