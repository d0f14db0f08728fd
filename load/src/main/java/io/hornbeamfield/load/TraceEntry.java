package io.hornbeamfield.load;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.hornbeamfield.core.config.Priority;

/**
 * One request of a trace, {@code atMs} after its start. The kind is {@code chat} or {@code service}. The target is the
 * model, or for a service the call in the form {@code <pool> <method> <path>}.
 *
 * <pre>{@code
 * {"atMs":120,"workspace":"plots","kind":"chat","target":"m","promptWords":40,"maxTokens":64,
 *  "priority":"normal","deadlineMs":5000}
 * }</pre>
 */
@JsonInclude(JsonInclude.Include.ALWAYS)
public record TraceEntry(
        long atMs,
        String workspace,
        String kind,
        String target,
        int promptWords,
        int maxTokens,
        Priority priority,
        long deadlineMs) {
    /** Kind of a model request. */
    public static final String CHAT = "chat";

    /** Kind of a call to a plain service. */
    public static final String SERVICE = "service";

    public TraceEntry {
        boolean kindKnown = kind.equals(CHAT) || kind.equals(SERVICE);
        boolean inRange = atMs >= 0 && promptWords >= 1 && maxTokens >= 1 && deadlineMs >= 1;
        if (!kindKnown || !inRange || (kind.equals(SERVICE) && target.split(" ").length != 3)) {
            throw new IllegalArgumentException("Trace entry at " + atMs + " ms is invalid: the kind must be chat or"
                    + " service, a service target \"<pool> <method> <path>\", and the numbers positive.");
        }
    }
}
