package io.hornbeamfield.client;

import io.hornbeamfield.core.result.Refusal;

/**
 * How a request ended.
 *
 * <pre>{@code
 * if (outcome instanceof Outcome.Answered answered) {
 *     use(answered.text());
 * }
 * }</pre>
 */
public sealed interface Outcome {
    /**
     * The whole answer arrived. The tokens are 0 for a plain service, whose status and body are passed on as they are.
     */
    record Answered(int status, String contentType, byte[] body, long promptTokens, long completionTokens)
            implements Outcome {
        /** Returns the body as UTF-8 text; for a model request this is the text of the answer. */
        public String text() {
            return new String(body, java.nio.charset.StandardCharsets.UTF_8);
        }
    }

    /** The request was refused and did not run. It can be sent again as a new request. */
    record RefusedNotRun(Refusal refusal) implements Outcome {}

    /** The request may have run. Sending it again as a new request could run it twice. */
    record OutcomeUnknown(Refusal refusal) implements Outcome {}
}
