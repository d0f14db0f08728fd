package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.result.Refusal;

/** Outcome of a request as its callers see it. */
sealed interface AnswerOutcome {
    /** A complete model answer. */
    record Model(String finishReason, Usage usage) implements AnswerOutcome {}

    /** The response of a plain service. */
    record Service(int status, String contentType, byte[] body) implements AnswerOutcome {}

    /** The request was refused or failed. */
    record Refused(Refusal refusal) implements AnswerOutcome {}
}
