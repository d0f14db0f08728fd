package io.hornbeamfield.core.placement;

/**
 * Notices that a server with requests of this instance says nothing on any connection. Not thread-safe.
 *
 * <p>Answers the load in which a server stops responding without closing its connections: each instance would send to
 * it until its own callers give up, seconds later.
 */
public final class SilenceDetector {
    /** Twice the longest pause between two events that is on time, 250 ms, and a lost packet that is sent again. */
    static final long STREAMS_SILENT_MS = 600;

    /** On a single connection a packet can be lost twice. */
    static final long STREAM_SILENT_MS = 1_000;

    /** A full queue of prompts or calls answers its last request after about a second on today's deployments. */
    static final long WAITING_SILENT_MS = 1_500;

    private int waiting;
    private int streaming;
    private long lastHeardMs;

    /** Records that a request was sent. */
    public void requestSent(long nowMs) {
        if (waiting + streaming == 0) {
            lastHeardMs = nowMs;
        }
        waiting++;
    }

    /** Records that something arrived from the server. */
    public void dataReceived(long nowMs) {
        lastHeardMs = nowMs;
    }

    /** Records the first event of a stream. */
    public void streamStarted() {
        waiting--;
        streaming++;
    }

    /** Records the end of a request. */
    public void requestEnded(boolean wasStreaming) {
        if (wasStreaming) {
            streaming--;
        } else {
            waiting--;
        }
    }

    /** Returns whether the server has been silent for longer than its requests explain. */
    public boolean isSilent(long nowMs) {
        long silentMs = nowMs - lastHeardMs;
        if (streaming > 1) {
            return silentMs > STREAMS_SILENT_MS;
        }
        if (streaming == 1) {
            return silentMs > STREAM_SILENT_MS;
        }
        return waiting > 0 && silentMs > WAITING_SILENT_MS;
    }
}
