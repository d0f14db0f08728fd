package io.hornbeamfield.client.internal;

import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Watches one try: while nothing arrives, the router is asked each second whether it is alive. After two misses in a
 * row the try is given up long before its own time limit.
 */
final class SilenceWatch {
    private static final int MISSES = 2;

    private final RouterHealth health;
    private final Router router;
    private final Executor executor;
    private final ScheduledExecutorService timer;
    private int misses;

    SilenceWatch(RouterHealth health, Router router, Executor executor, ScheduledExecutorService timer) {
        this.health = health;
        this.router = router;
        this.executor = executor;
        this.timer = timer;
    }

    /**
     * Checks until the try is over. {@code progressed} tells whether anything arrived since it was last asked. All
     * three actions run on the executor of the request.
     */
    void start(BooleanSupplier over, BooleanSupplier progressed, Runnable onDead) {
        timer.schedule(() -> executor.execute(() -> check(over, progressed, onDead)), 1, TimeUnit.SECONDS);
    }

    private void check(BooleanSupplier over, BooleanSupplier progressed, Runnable onDead) {
        if (over.getAsBoolean()) {
            return;
        }
        if (progressed.getAsBoolean()) {
            misses = 0;
            start(over, progressed, onDead);
            return;
        }
        health.isAlive(router)
                .thenAcceptAsync(
                        alive -> {
                            misses = alive ? 0 : misses + 1;
                            if (misses < MISSES) {
                                start(over, progressed, onDead);
                            } else if (!over.getAsBoolean()) {
                                onDead.run();
                            }
                        },
                        executor);
    }
}
