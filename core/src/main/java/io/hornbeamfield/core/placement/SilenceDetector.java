package io.hornbeamfield.core.placement;

/**
 * Detects a server that has requests of this instance in flight and sends nothing on any connection. Not thread-safe.
 *
 * <p>Without it, when a server hangs without closing its connections, each instance would keep sending requests to it
 * until its callers give up, seconds later.
 */
public final class SilenceDetector {
    /** Shortest timeout for several streams; leaves time for the retransmission of a packet. */
    static final long MULTIPLE_STREAMS_TIMEOUT_MS = 600;

    /** Shortest timeout for a single stream, where a packet may be lost twice. */
    static final long SINGLE_STREAM_TIMEOUT_MS = 1_000;

    private static final int PAUSES_ON_MULTIPLE_STREAMS = 2;
    private static final int PAUSES_ON_A_SINGLE_STREAM = 4;

    /** Time for the retransmission of a packet. */
    private static final long RETRANSMISSION_MS = 100;

    /** Silence before any answer has started; a server with a full queue answers the last request after about 1 s. */
    static final long FIRST_EVENT_TIMEOUT_MS = 1_500;

    private int waiting;
    private int streaming;
    private long lastReceivedMs;

    /** Records that a request was sent. */
    public void requestSent(long nowMs) {
        if (waiting + streaming == 0) {
            lastReceivedMs = nowMs;
        }
        waiting++;
    }

    /** Records that data arrived from the server. */
    public void dataReceived(long nowMs) {
        lastReceivedMs = nowMs;
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

    /**
     * Returns whether the server has been silent for longer than its requests in flight can explain.
     *
     * @param declaredPauseMs longest pause between two events that the routes of the service declare, 0 if none
     */
    public boolean isSilent(long nowMs, long declaredPauseMs) {
        long silentMs = nowMs - lastReceivedMs;
        if (streaming > 1) {
            return silentMs
                    > Math.max(
                            MULTIPLE_STREAMS_TIMEOUT_MS,
                            PAUSES_ON_MULTIPLE_STREAMS * declaredPauseMs + RETRANSMISSION_MS);
        }
        if (streaming == 1) {
            return silentMs > Math.max(SINGLE_STREAM_TIMEOUT_MS, PAUSES_ON_A_SINGLE_STREAM * declaredPauseMs);
        }
        return waiting > 0 && silentMs > FIRST_EVENT_TIMEOUT_MS;
    }
}
