package io.hornbeamfield.core.prepaid;

/** Estimates the token demand of a workspace per second, from the use here and the takes of all instances. */
final class DemandEstimate {
    /** Time constant of the decay of local use; a small workspace sends an instance one request every few seconds. */
    private static final double LOCAL_DECAY_MS = 8_000;

    /** Shortest sampling interval; the takes in shorter ones mostly reflect the timing of the instances' writes. */
    private static final long MIN_SAMPLE_MS = 3_000;

    /** Weight of a new sample: a burst of a few seconds shows, and a single refill does not double the estimate. */
    private static final double SAMPLE_WEIGHT = 0.5;

    private double localUse;
    private long localUpdatedMs;
    private long sampledTaken;
    private long sampledAtMs = Long.MIN_VALUE;
    private double takenPerSecond;

    void recordUse(long tokens, long nowMs) {
        decay(nowMs);
        localUse += tokens;
    }

    /** Updates the tokens that all instances have taken so far. */
    void updateTotalTaken(long tokens, long nowMs) {
        if (sampledAtMs == Long.MIN_VALUE) {
            sampledTaken = tokens;
            sampledAtMs = nowMs;
        } else if (nowMs - sampledAtMs >= MIN_SAMPLE_MS) {
            double rate = Math.max(0, tokens - sampledTaken) * 1_000.0 / (nowMs - sampledAtMs);
            takenPerSecond += SAMPLE_WEIGHT * (rate - takenPerSecond);
            sampledTaken = tokens;
            sampledAtMs = nowMs;
        }
    }

    /** Returns the estimated demand of this instance in tokens per second. */
    double perSecond(long nowMs, int instances) {
        return Math.max(localPerSecond(nowMs), takenPerSecond / Math.max(1, instances));
    }

    /** Returns the use of this instance in tokens per second. */
    double localPerSecond(long nowMs) {
        decay(nowMs);
        return localUse * 1_000 / LOCAL_DECAY_MS;
    }

    private void decay(long nowMs) {
        localUse *= Math.exp(-Math.max(0, nowMs - localUpdatedMs) / LOCAL_DECAY_MS);
        localUpdatedMs = nowMs;
    }
}
