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
 * The single-threaded event loop on which all controllers run. A task that throws is logged and does not end the loop.
 *
 * <pre>{@code
 * ControlLoop loop = ControlLoop.start("control", MonotonicClock.start());
 * loop.every(Duration.ofSeconds(1), this::refill);
 * }</pre>
 */
public interface ControlLoop extends Executor, AutoCloseable {
    /** Starts a loop on a new daemon thread. */
    static ControlLoop start(String name, Clock clock) {
        return new ThreadControlLoop(name, clock);
    }

    /** Returns the clock that all controllers share. */
    Clock clock();

    /** Returns the time now. */
    default Instant now() {
        return clock().instant();
    }

    /** Queues a task for execution. Tasks that are queued after {@link #close} are dropped. */
    @Override
    void execute(Runnable task);

    /** Runs a task after a delay. */
    void after(Duration delay, Runnable task);

    /**
     * Runs a task repeatedly with a fixed delay: the period lies between the end of a run and the start of the next
     * one.
     */
    default void every(Duration period, Runnable task) {
        execute(() -> {
            try {
                task.run();
            } finally {
                after(period, () -> every(period, task));
            }
        });
    }

    /** Runs the callback for the value or the failure on the loop when the future completes. */
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
