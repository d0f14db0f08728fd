package io.hornbeamfield.core.discovery;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * Notices the end of an outage of the platform's store with calls that cost a tenth of the others: one probe for all
 * watches of an instance in place of their own retries. Not thread-safe.
 *
 * <p>Limits the load of outages and partitions, where the retries of 91 instances were about 400 calls per second.
 *
 * <pre>{@code
 * OutageProbe probe = new OutageProbe(clock, onEnd -> listStale(onEnd), timer, Math::random);
 * probe.whenReachable(this::watch);
 * }</pre>
 */
public final class OutageProbe {
    /**
     * Longest pause between two probes. After a partition an instance must know the state of the store within 4 s: a
     * probe into the silence (0.9 s), a pause, a probe, a watch that fails (1 s) with its backoff (0.6 s), another
     * probe and the watch, each of the answered ones within 0.25 s, are 3.55 s.
     */
    static final long MAX_PAUSE_MS = 300;

    /** Longest wait for a probe to succeed, in case only the probes fail. */
    static final long MAX_WAIT_MS = 5_000;

    private final Clock clock;
    private final Consumer<Consumer<Boolean>> call;
    private final BiConsumer<Long, Runnable> timer;
    private final DoubleSupplier random;
    private final List<Waiting> waiting = new ArrayList<>();
    private boolean probing;

    private record Waiting(long sinceMs, Runnable resume) {}

    /**
     * Creates a probe.
     *
     * @param call makes a cheap call to the store and reports whether it succeeded, once and not before it returns
     * @param timer runs an action after a time in milliseconds
     * @param random returns numbers from 0 to 1, which spread the probes of the instances
     */
    public OutageProbe(
            Clock clock, Consumer<Consumer<Boolean>> call, BiConsumer<Long, Runnable> timer, DoubleSupplier random) {
        this.clock = clock;
        this.call = call;
        this.timer = timer;
        this.random = random;
    }

    /** Runs an action when the store is reachable. Each watch waits for at most one action. */
    public void whenReachable(Runnable resume) {
        waiting.add(new Waiting(clock.millis(), resume));
        if (!probing) {
            probing = true;
            call.accept(this::probed);
        }
    }

    private void probed(boolean reachable) {
        long now = clock.millis();
        List<Waiting> resumed = waiting.stream()
                .filter(w -> reachable || now - w.sinceMs() >= MAX_WAIT_MS)
                .toList();
        waiting.removeAll(resumed);
        probing = !waiting.isEmpty();
        if (probing) {
            long pauseMs = MAX_PAUSE_MS * 2 / 3 + (long) (random.getAsDouble() * MAX_PAUSE_MS / 3);
            timer.accept(pauseMs, () -> call.accept(this::probed));
        }
        resumed.forEach(w -> w.resume().run());
    }
}
