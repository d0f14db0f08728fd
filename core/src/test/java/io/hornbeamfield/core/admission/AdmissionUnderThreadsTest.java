package io.hornbeamfield.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.config.Priority;
import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.time.MonotonicClock;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against requests that are both refused and run, and against leaked slots, under concurrency. */
class AdmissionUnderThreadsTest {
    private static final int REQUESTS = 20_000;
    private static final int SLOTS = 8;

    private final Clock clock = MonotonicClock.start();
    private final AdmissionQueue queue = new AdmissionQueue(clock);
    private final AtomicIntegerArray decisions = new AtomicIntegerArray(REQUESTS);
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger mostRunning = new AtomicInteger();

    private void submit(int id, ExecutorService workers) {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        Deadline deadline = Deadline.after(Duration.ofMillis(random.nextInt(20)), clock);
        Priority priority = Priority.values()[random.nextInt(3)];
        AdmissionQueue.Pending pending =
                queue.submit(new AdmissionRequest("w" + id % 5, priority, deadline, 1), new AdmissionCallback() {
                    @Override
                    public void start(AdmissionSlot slot) {
                        decisions.incrementAndGet(id);
                        mostRunning.accumulateAndGet(running.incrementAndGet(), Math::max);
                        workers.execute(() -> {
                            running.decrementAndGet();
                            slot.finished();
                            slot.close();
                        });
                    }

                    @Override
                    public void refuse(Refusal refusal) {
                        decisions.incrementAndGet(id);
                    }
                });
        if (id % 7 == 0 && pending.cancel()) {
            decisions.incrementAndGet(id);
        }
        if (id % 11 == 0) {
            queue.tick();
        }
    }

    @Test
    void everyRequestGetsExactlyOneDecisionAndNoSlotIsLost() throws InterruptedException {
        queue.updateLimits(SLOTS, 50, Priority.LOW);
        ExecutorService workers = Executors.newFixedThreadPool(4);
        ExecutorService callers = Executors.newFixedThreadPool(4);
        List<Integer> ids = IntStream.range(0, REQUESTS).boxed().toList();
        ids.forEach(id -> callers.execute(() -> submit(id, workers)));
        callers.shutdown();
        assertThat(callers.awaitTermination(30, TimeUnit.SECONDS)).isTrue();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while ((queue.running() > 0 || queue.waiting() > 0) && System.nanoTime() < end) {
            queue.tick();
            Thread.sleep(5);
        }
        workers.shutdown();
        assertThat(queue.running()).isZero();
        assertThat(queue.waiting()).isZero();
        assertThat(mostRunning.get()).isLessThanOrEqualTo(SLOTS);
        assertThat(ids).allMatch(id -> decisions.get(id) == 1);
    }
}
