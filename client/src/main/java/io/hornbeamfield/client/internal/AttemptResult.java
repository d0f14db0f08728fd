package io.hornbeamfield.client.internal;

import io.hornbeamfield.client.Outcome;
import io.hornbeamfield.core.result.Refusal;

/** Result of one attempt to send a request to a router. */
sealed interface AttemptResult {
    /** The complete answer arrived. */
    record Completed(Outcome.Answered answer) implements AttemptResult {}

    /** The router refused the request. */
    record Refused(Refusal refusal) implements AttemptResult {}

    /** No connection was established, so nothing was sent. */
    record NotSent(String reason) implements AttemptResult {}

    /** The request was sent, but the router stopped answering liveness probes. */
    record RouterUnresponsive(String reason) implements AttemptResult {}

    /** The request was sent, but the complete answer did not arrive. */
    record Incomplete(String reason) implements AttemptResult {}
}
