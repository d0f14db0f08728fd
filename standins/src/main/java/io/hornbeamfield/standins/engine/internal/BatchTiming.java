package io.hornbeamfield.standins.engine.internal;

/**
 * Speed of an engine: the number of requests that are computed together, the time to read an uncached prompt token, the
 * time per step with one request, and what each further request adds to the step.
 */
public record BatchTiming(int slots, double prefillMsPerToken, double tokenMs, double addedMsPerRequest) {
    long stepNanos(int running, double slowdown) {
        return (long) ((tokenMs + addedMsPerRequest * Math.max(0, running - 1)) * slowdown * 1e6);
    }

    long prefillNanos(long tokens) {
        return (long) (prefillMsPerToken * tokens * 1e6);
    }
}
