package io.hornbeamfield.core.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.ToLongFunction;
import org.junit.jupiter.api.Test;

/** Guards against a fleet that overloads the store with retries of conflicting writes. */
final class ConflictBackoffTest {
    /** Time from an instance to the store, including its processing, and back. */
    private static final long TO_STORE_MS = 4;

    private static final long FROM_STORE_MS = 4;

    private record Load(long calls, long lastWriteMs) {}

    private record Attempt(long atStoreMs, int instance, long knownRevision) {}

    /** Simulates instances that each write once, starting at the same moment, on the revision that each one knows. */
    private static Load simulate(int instances, ToLongFunction<Integer> delay) {
        PriorityQueue<Attempt> attempts =
                new PriorityQueue<>(Comparator.comparingLong(Attempt::atStoreMs).thenComparingInt(Attempt::instance));
        for (int i = 0; i < instances; i++) {
            attempts.add(new Attempt(TO_STORE_MS, i, 0));
        }
        long revision = 0;
        long calls = 0;
        long lastWriteMs = 0;
        while (!attempts.isEmpty()) {
            Attempt a = attempts.poll();
            calls++;
            if (a.knownRevision() == revision) {
                revision++;
                lastWriteMs = a.atStoreMs();
            } else {
                long next = a.atStoreMs() + FROM_STORE_MS + delay.applyAsLong(a.instance()) + TO_STORE_MS;
                attempts.add(new Attempt(next, a.instance(), revision));
            }
        }
        return new Load(calls, lastWriteMs);
    }

    private static Load simulateWithBackoff(int instances) {
        Random random = new Random(7);
        ConflictBackoff[] backoffs = new ConflictBackoff[instances];
        for (int i = 0; i < instances; i++) {
            backoffs[i] = new ConflictBackoff();
        }
        return simulate(instances, i -> backoffs[i].afterConflict(instances, random));
    }

    /** The store of large deployments serves 1,200 writes per second; traffic begins 19 s after the instances start. */
    @Test
    void firstWritesOfALargeFleetFitIntoWhatTheStoreServesInASecond() {
        assertThat(simulate(86, i -> 0L).calls()).as("immediate retries").isGreaterThan(3_000);
        Load load = simulateWithBackoff(86);
        assertThat(load.calls()).as(load.toString()).isLessThan(1_200);
        assertThat(load.lastWriteMs()).as(load.toString()).isLessThan(5_000);
    }

    /** A request that waits for tokens in a small fleet must not be delayed by the backoff of a large one. */
    @Test
    void aSmallFleetIsDoneWithinItsUsualRoundTrips() {
        Load load = simulateWithBackoff(8);
        assertThat(load.lastWriteMs()).as(load.toString()).isLessThan(300);
        assertThat(load.calls()).as(load.toString()).isLessThanOrEqualTo(36);
    }
}
