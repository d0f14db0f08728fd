package io.hornbeamfield.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Faults of a simulated engine. The next {@code silentStreams} streams stay open but send nothing after two tokens.
 * With {@code loseCancels} a cancel has no effect and no answer. {@code slowdown} multiplies the time per token.
 */
public record EngineFaults(int silentStreams, boolean loseCancels, boolean leaving, double slowdown) {
    /** No faults. */
    public static final EngineFaults NONE = new EngineFaults(0, false, false, 1);

    /** Returns these faults with the fields that the JSON object names; the others stay as they are. */
    public EngineFaults with(JsonNode changes) {
        return new EngineFaults(
                changes.path("silentStreams").asInt(silentStreams),
                changes.path("loseCancels").asBoolean(loseCancels),
                changes.path("leaving").asBoolean(leaving),
                changes.path("slowdown").asDouble(slowdown));
    }

    /** Returns these faults with another number of silent streams. */
    public EngineFaults withSilentStreams(int count) {
        return new EngineFaults(count, loseCancels, leaving, slowdown);
    }
}
