package io.hornbeamfield.core.admission;

import java.time.Clock;

/**
 * Decides when a client connection has waited too long for input: for the rest of a head, or for anything while no
 * request is in progress. Input that has arrived and has not been read is unknown here: the caller reads it first. Not
 * thread-safe.
 *
 * <pre>{@code
 * InputTimeout timeout = new InputTimeout(clock);
 * timeout.bytesReceived();
 * timeout.hasElapsed(headerTimeoutMs, idleTimeoutMs);
 * }</pre>
 */
public final class InputTimeout {
    private final Clock clock;
    private boolean headStarted;
    private long headStartedMs;
    private long idleSinceMs;

    /** Creates a timeout for a connection that opens now. */
    public InputTimeout(Clock clock) {
        this.clock = clock;
        this.idleSinceMs = clock.millis();
    }

    /** Records input or output; an idle connection waits from here on. */
    public void active() {
        idleSinceMs = clock.millis();
    }

    /** Records input that begins or continues a head. */
    public void headReceived() {
        active();
        if (!headStarted) {
            headStarted = true;
            headStartedMs = idleSinceMs;
        }
    }

    /** Records that a head is complete, or that the next one has not begun. */
    public void headEnded() {
        headStarted = false;
    }

    /** Returns whether a part of a head has been received. */
    public boolean isHeadStarted() {
        return headStarted;
    }

    /** Returns whether the connection has waited too long. */
    public boolean hasElapsed(long headerTimeoutMs, long idleTimeoutMs) {
        long now = clock.millis();
        return now - idleSinceMs > idleTimeoutMs || (headStarted && now - headStartedMs > headerTimeoutMs);
    }
}
