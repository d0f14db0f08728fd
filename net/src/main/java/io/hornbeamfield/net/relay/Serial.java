package io.hornbeamfield.net.relay;

/**
 * Runs actions one at a time on the calling threads, so that the state they share needs no locks of its own.
 *
 * <pre>{@code
 * serial.run(() -> table.remove(id));
 * }</pre>
 */
public final class Serial {
    /** Runs an action on the calling thread, after any action of another thread has finished. Reentrant. */
    public synchronized void run(Runnable action) {
        action.run();
    }
}
