package io.hornbeamfield.standins.service;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Faults of a simulated service. Each call takes {@code delayMs}. The next {@code silentAfterRun} POST calls run, but
 * get no answer on a connection that stays open; the next {@code brokenAfterRun} run and their connection is closed.
 */
public record ServiceFaults(long delayMs, int silentAfterRun, int brokenAfterRun, boolean leaving) {
    /** No faults. */
    public static final ServiceFaults NONE = new ServiceFaults(0, 0, 0, false);

    /** Returns these faults with the fields that the JSON object names; the others stay as they are. */
    public ServiceFaults with(JsonNode changes) {
        return new ServiceFaults(
                changes.path("delayMs").asLong(delayMs),
                changes.path("silentAfterRun").asInt(silentAfterRun),
                changes.path("brokenAfterRun").asInt(brokenAfterRun),
                changes.path("leaving").asBoolean(leaving));
    }
}
