package io.hornbeamfield.standins.faultproxy;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Behaviour of a link. Latencies are one-way, in milliseconds. A cut link refuses connections and closes the existing
 * ones. {@code silence} makes the connections that exist at the time of the call pass no more bytes while they stay
 * open; it is never undone for them. While {@code silenceNew} is set, new connections are silent from the start.
 *
 * <pre>{@code
 * proxy.set("router1-platform", LinkFaults.NONE.withCut(true));
 * }</pre>
 */
public record LinkFaults(double toTargetMs, double toCallerMs, boolean cut, boolean silence, boolean silenceNew) {
    /** A link that passes everything on at once. */
    public static final LinkFaults NONE = new LinkFaults(0, 0, false, false, false);

    /** Returns this behaviour with another latency in both directions. */
    public LinkFaults withLatencyMs(double oneWay) {
        return new LinkFaults(oneWay, oneWay, cut, silence, silenceNew);
    }

    /** Returns this behaviour with the link cut or not. */
    public LinkFaults withCut(boolean value) {
        return new LinkFaults(toTargetMs, toCallerMs, value, silence, silenceNew);
    }

    /** Returns this behaviour with existing and new connections silent or not. */
    public LinkFaults withSilence(boolean existing, boolean alsoNew) {
        return new LinkFaults(toTargetMs, toCallerMs, cut, existing, alsoNew);
    }

    /** Returns this behaviour with the fields that the JSON object names; the others stay as they are. */
    public LinkFaults with(JsonNode changes) {
        return new LinkFaults(
                changes.path("toTargetMs").asDouble(toTargetMs),
                changes.path("toCallerMs").asDouble(toCallerMs),
                changes.path("cut").asBoolean(cut),
                changes.path("silence").asBoolean(silence),
                changes.path("silenceNew").asBoolean(silenceNew));
    }
}
