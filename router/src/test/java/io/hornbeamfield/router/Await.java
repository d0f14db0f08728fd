package io.hornbeamfield.router;

import java.util.function.BooleanSupplier;

/** Polls until a condition holds that other threads bring about. */
public final class Await {
    private static final int LIMIT_MS = 15_000;

    private Await() {}

    public static void until(BooleanSupplier condition) {
        long limit = System.nanoTime() + LIMIT_MS * 1_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > limit) {
                throw new AssertionError("The condition was not met within " + LIMIT_MS + " ms.");
            }
            pause();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(5);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AssertionError("Interrupted.", e);
        }
    }
}
