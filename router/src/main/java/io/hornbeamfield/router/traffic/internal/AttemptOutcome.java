package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.result.Refusal;

/** Outcome of an attempt at a backend server, with the tokens that it spent. */
sealed interface AttemptOutcome {
    /** Returns the tokens spent. If the usage is unknown, the whole reservation counts as spent. */
    long spent();

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

    /** The outcome at the backend server is unknown. */
    record Failed(Refusal refusal, long spent) implements AttemptOutcome {}

    /** The router cancelled the attempt. */
    record Cancelled(long spent) implements AttemptOutcome {}
}
