package io.hornbeamfield.client;

import io.hornbeamfield.core.result.Refusal;

/**
 * Final outcome of a request.
 *
 * <pre>{@code
 * if (outcome instanceof Outcome.Answered answered) {
 *     use(answered.text());
 * }
 * }</pre>
 */
public sealed interface Outcome {
    /**
     * The complete answer arrived. For a plain service, the token counts are 0, and the status and body are those of
     * the service, unchanged.
     */
    record Answered(int status, String contentType, byte[] body, long promptTokens, long completionTokens)
            implements Outcome {
        /** Returns the body as UTF-8 text; for a model request this is the text of the answer. */
        public String text() {
            return new String(body, java.nio.charset.StandardCharsets.UTF_8);
        }
    }

    /** The request was refused and did not run. It is safe to send it again as a new request. */
    record RefusedNotRun(Refusal refusal) implements Outcome {}

    /** The request may have run. Sending it again as a new request could run it twice. */
    record OutcomeUnknown(Refusal refusal) implements Outcome {}
}
