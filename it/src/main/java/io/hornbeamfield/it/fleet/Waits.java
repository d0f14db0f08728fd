package io.hornbeamfield.it.fleet;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Waits for conditions of running processes. */
public final class Waits {
    private static final long POLL_MS = 20;

    private Waits() {}

    /** Waits until the condition holds; fails with a message that names it. */
    public static void until(String condition, Duration limit, BooleanSupplier check) {
        if (!holdsWithin(limit, check)) {
            throw new AssertionError("Not within " + limit.toMillis() + " ms: " + condition + ".");
        }
    }

    /** Returns whether the condition holds within the limit. */
    public static boolean holdsWithin(Duration limit, BooleanSupplier check) {
        long end = System.nanoTime() + limit.toNanos();
        while (!check.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                return false;
            }
            sleep(Duration.ofMillis(POLL_MS));
        }
        return true;
    }

    /** Sleeps. */
    public static void sleep(Duration time) {
        try {
            Thread.sleep(time.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("Interrupted.", e);
        }
    }
}
