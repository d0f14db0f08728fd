package io.hornbeamfield.client.internal;

import io.hornbeamfield.client.Outcome;
import io.hornbeamfield.core.result.Refusal;

/** How one try of a request at a router ended. */
sealed interface TryEnd {
    /** The whole answer is there. */
    record Whole(Outcome.Answered answer) implements TryEnd {}

    /** The router refused the request. */
    record Refused(Refusal refusal) implements TryEnd {}

    /** No connection was made, so nothing was sent. */
    record NotSent(String reason) implements TryEnd {}

    /** The request was sent, but the router does not answer any more. */
    record RouterDead(String reason) implements TryEnd {}

    /** The request was sent, but the answer did not arrive whole. */
    record Broken(String reason) implements TryEnd {}
}
