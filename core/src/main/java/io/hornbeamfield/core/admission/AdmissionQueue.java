package io.hornbeamfield.core.admission;

import io.hornbeamfield.core.admission.internal.Entry;
import io.hornbeamfield.core.admission.internal.FairQueue;
import io.hornbeamfield.core.admission.internal.ServiceTimes;
import io.hornbeamfield.core.admission.internal.VirtualTime;
import io.hornbeamfield.core.config.Preset;
import io.hornbeamfield.core.config.Priority;
import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.ResultCode;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Limits the number of running requests and queues the others by priority, then fairly between workspaces, then by
 * deadline. A request that is not expected to end before its deadline, judged by recent service times, is refused
 * early. Thread-safe; callbacks are invoked outside the lock, and every request gets exactly one decision unless it is
 * cancelled.
 *
 * <pre>{@code
 * AdmissionQueue queue = new AdmissionQueue(clock);
 * queue.updateLimits(preset);
 * queue.submit(new AdmissionRequest("plots", Priority.NORMAL, deadline, tokens), callback);
 * queue.tick(); // a few times a second
 * }</pre>
 */
public final class AdmissionQueue {
    private static final int MAX_RETRY_AFTER_SECONDS = 30;

    /**
     * Caps the estimated service time at this share of the time allowed by the deadline. A workspace whose service
     * times are close to its deadlines can still wait for a fifth of that time; without the cap its requests would be
     * refused as soon as there is a queue.
     */
    private static final double MAX_SERVICE_SHARE = 0.8;

    private final Clock clock;
    private final VirtualTime virtualTime = new VirtualTime();
    private final ServiceTimes times = new ServiceTimes();
    private final Map<Priority, FairQueue> queues = new EnumMap<>(Priority.class);
    private int maxConcurrent = 1;
    private int queueLimit;
    private Priority minPriority = Priority.LOW;
    private int running;
    private long sequence;

    public AdmissionQueue(Clock clock) {
        this.clock = clock;
        for (Priority p : Priority.values()) {
            queues.put(p, new FairQueue(virtualTime));
        }
    }

    /** Applies the limits of the active preset. A lower limit does not affect running and waiting requests. */
    public void updateLimits(Preset preset) {
        updateLimits(preset.maxConcurrent(), preset.queueLimit(), preset.minPriority());
    }

    /** Sets the limits and the lowest priority that is accepted. */
    public void updateLimits(int newMaxConcurrent, int newQueueLimit, Priority newMinPriority) {
        List<Runnable> decisions = new ArrayList<>();
        synchronized (this) {
            maxConcurrent = newMaxConcurrent;
            queueLimit = newQueueLimit;
            minPriority = newMinPriority;
            startWaiting(decisions);
        }
        deliver(decisions);
    }

    /** Submits a request. The callback may be invoked before this method returns. */
    public Pending submit(AdmissionRequest request, AdmissionCallback callback) {
        List<Runnable> decisions = new ArrayList<>();
        Entry entry;
        synchronized (this) {
            entry = new Entry(sequence++, request, callback, clock.instant());
            admit(entry, decisions);
        }
        deliver(decisions);
        return () -> cancel(entry);
    }

    /** Refuses waiting requests that can no longer meet their deadline; must be called periodically. */
    public void tick() {
        List<Runnable> decisions = new ArrayList<>();
        synchronized (this) {
            shedLate(decisions);
            startWaiting(decisions);
        }
        deliver(decisions);
    }

    /** Returns the number of running requests. */
    public synchronized int running() {
        return running;
    }

    /** Returns the number of waiting requests. */
    public synchronized int waiting() {
        return queues.values().stream().mapToInt(FairQueue::size).sum();
    }

    /** Invokes the callbacks. One that throws does not prevent the others from being invoked. */
    private static void deliver(List<Runnable> decisions) {
        Optional<RuntimeException> failure = Optional.empty();
        for (Runnable decision : decisions) {
            try {
                decision.run();
            } catch (RuntimeException e) {
                failure = failure.or(() -> Optional.of(e));
            }
        }
        failure.ifPresent(e -> {
            throw e;
        });
    }

    private void admit(Entry entry, List<Runnable> decisions) {
        AdmissionRequest r = entry.request();
        if (r.deadline().hasPassed(clock)) {
            decisions.add(refusal(entry, deadlinePassed()));
        } else if (!r.priority().atLeast(minPriority)) {
            decisions.add(refusal(entry, overloaded("The preset in force sheds this priority.")));
        } else if (running < maxConcurrent && waiting() == 0) {
            start(entry, decisions);
        } else if (!meetsDeadline(entry, expectedWaitMillis(entry))) {
            decisions.add(refusal(entry, overloaded("The queue is longer than the deadline allows.")));
        } else if (waiting() < queueLimit) {
            queueOf(entry).add(entry);
        } else {
            replaceInFullQueue(entry, decisions);
        }
    }

    private void replaceInFullQueue(Entry entry, List<Runnable> decisions) {
        Optional<Entry> victim = victimFor(entry);
        victim.ifPresent(v -> {
            queueOf(v).remove(v);
            queueOf(entry).add(entry);
        });
        decisions.add(refusal(victim.orElse(entry), overloaded("The queue is full.")));
    }

    /** Returns a request of lower priority, or one of a workspace with at least two more waiting requests. */
    private Optional<Entry> victimFor(Entry entry) {
        Priority own = entry.request().priority();
        for (Priority p : List.of(Priority.LOW, Priority.NORMAL)) {
            if (!p.atLeast(own) && queue(p).size() > 0) {
                return queue(p).lastOfLargestWorkspace();
            }
        }
        int ownWaiting = queue(own).sizeOf(entry.request().workspace());
        return queue(own)
                .lastOfLargestWorkspace()
                .filter(v -> queue(own).sizeOf(v.request().workspace()) > ownWaiting + 1);
    }

    private void shedLate(List<Runnable> decisions) {
        for (FairQueue queue : queues.values()) {
            for (Entry entry : queue.matching(e -> !meetsDeadline(e, 0))) {
                queue.remove(entry);
                decisions.add(lateRefusal(entry));
            }
        }
    }

    private void startWaiting(List<Runnable> decisions) {
        for (FairQueue queue : queues.values()) {
            Optional<Entry> next = queue.next();
            while (running < maxConcurrent && next.isPresent()) {
                Entry entry = next.get();
                queue.remove(entry);
                if (meetsDeadline(entry, 0)) {
                    start(entry, decisions);
                } else {
                    decisions.add(lateRefusal(entry));
                }
                next = queue.next();
            }
        }
    }

    private void start(Entry entry, List<Runnable> decisions) {
        running++;
        virtualTime.charge(entry.request().workspace(), entry.request().cost());
        Slot slot = new Slot(entry.request().workspace(), clock.instant());
        decisions.add(() -> entry.callback().start(slot));
    }

    private boolean meetsDeadline(Entry entry, double waitMillis) {
        Deadline deadline = entry.request().deadline();
        if (!deadline.isBounded()) {
            return true;
        }
        double allowed = Duration.between(entry.submittedAt(), deadline.at()).toNanos() / 1e6;
        double service = Math.min(times.upperEstimateMillis(entry.request().workspace()), allowed * MAX_SERVICE_SHARE);
        return !deadline.hasPassed(clock)
                && deadline.allows(Duration.ofNanos((long) ((waitMillis + service) * 1e6)), clock);
    }

    private double expectedWaitMillis(Entry entry) {
        int ahead = queueOf(entry).countAhead(entry);
        for (Priority p : Priority.values()) {
            if (p != entry.request().priority() && p.atLeast(entry.request().priority())) {
                ahead += queue(p).size();
            }
        }
        return (ahead + 1) * times.meanMillis() / maxConcurrent;
    }

    private synchronized boolean cancel(Entry entry) {
        return queueOf(entry).remove(entry);
    }

    private FairQueue queueOf(Entry entry) {
        return queue(entry.request().priority());
    }

    private FairQueue queue(Priority priority) {
        FairQueue queue = queues.get(priority);
        if (queue == null) {
            throw new IllegalStateException("No queue for " + priority + ".");
        }
        return queue;
    }

    private Runnable lateRefusal(Entry entry) {
        return refusal(
                entry,
                entry.request().deadline().hasPassed(clock)
                        ? deadlinePassed()
                        : overloaded("The request would end after its deadline."));
    }

    private static Runnable refusal(Entry entry, Refusal refusal) {
        return () -> entry.callback().refuse(refusal);
    }

    private static Refusal deadlinePassed() {
        return Refusal.of(
                ResultCode.DEADLINE_PASSED, "The deadline passed before a slot was free. Allow more time or retry.");
    }

    private Refusal overloaded(String reason) {
        double seconds = waiting() * times.meanMillis() / maxConcurrent / 1_000;
        int after = (int) Math.max(1, Math.min(MAX_RETRY_AFTER_SECONDS, Math.ceil(seconds)));
        return Refusal.of(ResultCode.OVERLOADED, reason + " Retry after " + after + " s.")
                .retryAfter(after);
    }

    /**
     * Releases a slot. An incomplete request is no sample of the service time unless it held its slot longer than most
     * requests do: then it was probably cut off at its deadline, and ignoring it would bias the estimate low under
     * overload.
     */
    private void release(String workspace, Instant startedAt, boolean completed) {
        List<Runnable> decisions = new ArrayList<>();
        synchronized (this) {
            Duration held = Duration.between(startedAt, clock.instant());
            if (completed || held.toMillis() > times.upperEstimateMillis(workspace)) {
                times.record(workspace, held);
            }
            running--;
            startWaiting(decisions);
        }
        deliver(decisions);
    }

    /** A submitted request that may still be waiting. */
    @FunctionalInterface
    public interface Pending {
        /** Removes the request from the queue. Returns whether it was still waiting; if so, it gets no decision. */
        boolean cancel();
    }

    private final class Slot implements AdmissionSlot {
        private final String workspace;
        private final Instant startedAt;
        private final AtomicBoolean held = new AtomicBoolean(true);

        Slot(String workspace, Instant startedAt) {
            this.workspace = workspace;
            this.startedAt = startedAt;
        }

        @Override
        public void finished() {
            if (held.compareAndSet(true, false)) {
                release(workspace, startedAt, true);
            }
        }

        @Override
        public void close() {
            if (held.compareAndSet(true, false)) {
                release(workspace, startedAt, false);
            }
        }
    }
}
