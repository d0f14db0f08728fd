package io.hornbeamfield.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Faults of the simulated platform. Half of {@code delayMs} passes before a call takes effect and half before it is
 * answered. {@code loseAnswers} is the share of applied updates that get no answer: the connection is closed or stays
 * silent. {@code staleReads} is the share of reads that show the state before the last change.
 *
 * <pre>{@code
 * platform.inject(PlatformFaults.NONE.withOutage(true));
 * }</pre>
 */
public record PlatformFaults(
        boolean outage,
        double delayMs,
        double loseAnswers,
        double staleReads,
        long instanceListLagMs,
        double writesPerSecond,
        double readsPerSecond) {

    /** No faults, with the rates of the design page. */
    public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0, 0, 0, 400, 2000);

    /** Returns these faults with or without an outage. */
    public PlatformFaults withOutage(boolean value) {
        return new PlatformFaults(
                value, delayMs, loseAnswers, staleReads, instanceListLagMs, writesPerSecond, readsPerSecond);
    }

    /** Returns these faults with the fields that the JSON object names; the others stay as they are. */
    public PlatformFaults with(JsonNode changes) {
        return new PlatformFaults(
                changes.path("outage").asBoolean(outage),
                changes.path("delayMs").asDouble(delayMs),
                changes.path("loseAnswers").asDouble(loseAnswers),
                changes.path("staleReads").asDouble(staleReads),
                changes.path("instanceListLagMs").asLong(instanceListLagMs),
                changes.path("writesPerSecond").asDouble(writesPerSecond),
                changes.path("readsPerSecond").asDouble(readsPerSecond));
    }
}
