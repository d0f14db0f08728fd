package io.hornbeamfield.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.LongUnaryOperator;
import org.junit.jupiter.api.Test;

/** Guards against callers that return while the overload that refused them still lasts, and are refused for good. */
final class RefusalBackoffTest {
    private static final int SLOTS = 24;
    private static final int QUEUE = 12;
    private static final long SERVICE_MS = 86;
    private static final long DEADLINE_MS = 3_000;

    private final ManualClock clock = ManualClock.atEpochSecond(1_000);
    private final Random random = new Random(7);

    /** A request at its first or second attempt. */
    private record Arrival(long atMs, long deadlineMs, boolean second) {}

    /** Plays 2 s of three times the capacity and 4 s of half of it; returns the share of the requests that ran. */
    private double servedShare(LongUnaryOperator delayMs) {
        PriorityQueue<Arrival> arrivals = new PriorityQueue<>((a, b) -> Long.compare(a.atMs(), b.atMs()));
        double capacityPerMs = (double) SLOTS / SERVICE_MS;
        int total = 0;
        double due = 0;
        for (long t = 0; t < 6_000; t++) {
            due += capacityPerMs * (t < 2_000 ? 3 : 0.5);
            for (; due >= 1; due--) {
                arrivals.add(new Arrival(t, t + DEADLINE_MS, false));
                total++;
            }
        }
        Deque<Long> ends = new ArrayDeque<>();
        int served = 0;
        long started = clock.millis();
        while (!arrivals.isEmpty()) {
            Arrival a = arrivals.poll();
            clock.advance(Duration.ofMillis(started + a.atMs() - clock.millis()));
            while (!ends.isEmpty() && ends.getFirst() <= a.atMs()) {
                ends.removeFirst();
            }
            if (ends.size() < SLOTS + QUEUE) {
                served++;
                long ahead = ends.size() - SLOTS;
                ends.addLast(a.atMs() + SERVICE_MS + Math.max(0, ahead) * SERVICE_MS / SLOTS);
            } else if (!a.second()) {
                long wait = delayMs.applyAsLong(a.deadlineMs() - a.atMs());
                arrivals.add(new Arrival(a.atMs() + wait, a.deadlineMs(), true));
            }
        }
        return (double) served / total;
    }

    @Test
    void moreCallersAreServedAfterABurstThanWithAFixedDelay() {
        RefusalBackoff backoff = new RefusalBackoff(clock);
        double fixed = servedShare(left -> 250);
        double growing = servedShare(left -> backoff.delayMs(left, 0, random));
        assertThat(growing).isGreaterThan(fixed + 0.05);
    }

    @Test
    void theDelayGrowsWithTheOverloadAndStartsAnewAfterIt() {
        RefusalBackoff backoff = new RefusalBackoff(clock);
        assertThat(backoff.delayMs(60_000, 0, random)).isBetween(250L, 500L);
        for (int i = 0; i < 20; i++) {
            clock.advance(Duration.ofMillis(100));
            backoff.delayMs(60_000, 0, random);
        }
        assertThat(backoff.delayMs(60_000, 0, random)).isBetween(2_000L, 4_000L);
        clock.advance(Duration.ofSeconds(1));
        assertThat(backoff.delayMs(60_000, 0, random)).isBetween(250L, 500L);
    }

    @Test
    void callersAreNotToldToWaitForLongerThanTheyWill() {
        RefusalBackoff backoff = new RefusalBackoff(clock);
        for (int i = 0; i < 100; i++) {
            clock.advance(Duration.ofMillis(100));
            assertThat(backoff.delayMs(900, 0, random)).isBetween(1L, 300L);
        }
    }

    @Test
    void callersReturnSpreadOverTimeAfterThePauseOfTheServers() {
        RefusalBackoff backoff = new RefusalBackoff(clock);
        Set<Long> delays = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            long delayMs = backoff.delayMs(9_000, 2_000, random);
            assertThat(delayMs).isBetween(2_250L, 2_500L);
            delays.add(delayMs);
        }
        assertThat(delays).hasSizeGreaterThan(50);
    }
}
