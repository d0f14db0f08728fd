package io.hornbeamfield.client.internal;

import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Monitors the router during one attempt: while no data arrives, the router is probed every second. Two consecutive
 * failed probes end the attempt, long before its own time limit.
 */
final class LivenessMonitor {
    private static final int MAX_FAILED_PROBES = 2;

    private final RouterHealth health;
    private final Router router;
    private final Executor executor;
    private final ScheduledExecutorService timer;
    private int failedProbes;

    LivenessMonitor(RouterHealth health, Router router, Executor executor, ScheduledExecutorService timer) {
        this.health = health;
        this.router = router;
        this.executor = executor;
        this.timer = timer;
    }

    /**
     * Probes the router until the attempt has ended. {@code progressed} returns whether data has arrived since its
     * previous call. All three callbacks run on the executor of the request.
     */
    void start(BooleanSupplier ended, BooleanSupplier progressed, Runnable onUnresponsive) {
        timer.schedule(() -> executor.execute(() -> check(ended, progressed, onUnresponsive)), 1, TimeUnit.SECONDS);
    }

    private void check(BooleanSupplier ended, BooleanSupplier progressed, Runnable onUnresponsive) {
        if (ended.getAsBoolean()) {
            return;
        }
        if (progressed.getAsBoolean()) {
            failedProbes = 0;
            start(ended, progressed, onUnresponsive);
            return;
        }
        health.isAlive(router)
                .thenAcceptAsync(
                        alive -> {
                            failedProbes = alive ? 0 : failedProbes + 1;
                            if (failedProbes < MAX_FAILED_PROBES) {
                                start(ended, progressed, onUnresponsive);
                            } else if (!ended.getAsBoolean()) {
                                onUnresponsive.run();
                            }
                        },
                        executor);
    }
}
