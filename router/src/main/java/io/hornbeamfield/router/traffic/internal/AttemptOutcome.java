package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.result.Refusal;

/**
 * Outcome of an attempt at a backend server. The tokens that it spent leave the budget; the billed ones appear on the
 * bill of the request.
 */
sealed interface AttemptOutcome {
    /** Returns the tokens spent. If the usage is unknown, the whole reservation counts as spent. */
    long spent();

    /** Returns the tokens to bill: 0 if there is no evidence that the server has started to run the request. */
    default long billed() {
        return spent();
    }

    /** The backend server answered. */
    record Done(AnswerOutcome end, long spent) implements AttemptOutcome {}

    /** No connection was established, so the reservation can be used for the next attempt. */
    record NotSent(Refusal refusal) implements AttemptOutcome {
        @Override
        public long spent() {
            return 0;
        }
    }

    /** The backend server rejected the request without running it. */
    record Declined(Refusal refusal, boolean otherServerMayAccept) implements AttemptOutcome {
        @Override
        public long spent() {
            return 0;
        }
    }

    /**
     * The outcome at the backend server is unknown.
     *
     * @param lostBeforeAnswer whether the server was lost with the request before it had answered any of it
     */
    record Failed(Refusal refusal, long spent, long billed, boolean lostBeforeAnswer) implements AttemptOutcome {}

    /** The router cancelled the attempt. */
    record Cancelled(long spent, long billed) implements AttemptOutcome {}
}
