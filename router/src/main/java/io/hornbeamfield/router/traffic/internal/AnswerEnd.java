package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.result.Refusal;

/** How an answer ended. */
sealed interface AnswerEnd {
    /** The model answer is whole. */
    record Model(String finishReason, Usage usage) implements AnswerEnd {}

    /** A plain service answered. */
    record Service(int status, String contentType, byte[] body) implements AnswerEnd {}

    /** The request was refused or failed. */
    record Refused(Refusal refusal) implements AnswerEnd {}
}
