package io.hornbeamfield.router.control;

import io.hornbeamfield.router.control.internal.ThreadControlLoop;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * The one thread on which all controllers run. A task that throws is reported and does not end the loop.
 *
 * <pre>{@code
 * ControlLoop loop = ControlLoop.start("control", MonotonicClock.start());
 * loop.every(Duration.ofSeconds(1), this::refill);
 * }</pre>
 */
public interface ControlLoop extends Executor, AutoCloseable {
    /** Starts a loop on a thread of its own. */
    static ControlLoop start(String name, Clock clock) {
        return new ThreadControlLoop(name, clock);
    }

    /** Returns the clock of the controllers. */
    Clock clock();

    /** Returns the time now. */
    default Instant now() {
        return clock().instant();
    }

    /** Runs a task soon. After {@link #close} tasks are dropped. */
    @Override
    void execute(Runnable task);

    /** Runs a task after a delay. */
    void after(Duration delay, Runnable task);

    /** Runs a task soon and then again and again, with the period between the end of a run and the next one. */
    default void every(Duration period, Runnable task) {
        execute(() -> {
            try {
                task.run();
            } finally {
                after(period, () -> every(period, task));
            }
        });
    }

    /** Runs one of two tasks on the loop when the future is done. */
    default <T> void onDone(CompletableFuture<T> future, Consumer<T> onValue, Consumer<Throwable> onFailure) {
        future.whenComplete((T value, @Nullable Throwable failure) -> execute(() -> {
            if (failure == null) {
                onValue.accept(value);
            } else {
                onFailure.accept(failure);
            }
        }));
    }

    @Override
    void close();
}
