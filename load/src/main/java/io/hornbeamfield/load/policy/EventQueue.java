package io.hornbeamfield.load.policy;

import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Actions in order of simulated time. */
final class EventQueue {
    private record Event(long atMs, long serial, Runnable action) {}

    private final ManualClock clock = ManualClock.atEpochSecond(0);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::serial));
    private long serial;
    private long nowMs;

    ManualClock clock() {
        return clock;
    }

    long nowMs() {
        return nowMs;
    }

    void at(long atMs, Runnable action) {
        events.add(new Event(Math.max(atMs, nowMs), serial++, action));
    }

    void after(long delayMs, Runnable action) {
        at(nowMs + delayMs, action);
    }

    void runUntil(long endMs) {
        while (!events.isEmpty() && events.peek().atMs() <= endMs) {
            Event event = events.remove();
            clock.advance(Duration.ofMillis(event.atMs() - nowMs));
            nowMs = event.atMs();
            event.action().run();
        }
    }
}
