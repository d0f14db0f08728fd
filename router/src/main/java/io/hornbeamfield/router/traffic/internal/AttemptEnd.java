package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.result.Refusal;

/** How an attempt at a backend server ended, with the tokens that it spent. */
sealed interface AttemptEnd {
    /** Returns the tokens spent; an attempt whose usage could not be learnt spent its whole reservation. */
    long spent();

    /** The backend server answered. */
    record Done(AnswerEnd end, long spent) implements AttemptEnd {}

    /** No connection was made, so the reservation can serve the next attempt. */
    record NotSent(Refusal refusal) implements AttemptEnd {
        @Override
        public long spent() {
            return 0;
        }
    }

    /** The backend server refused the request and did not run it. */
    record Declined(Refusal refusal, boolean otherServerMayAccept) implements AttemptEnd {
        @Override
        public long spent() {
            return 0;
        }
    }

    /** The outcome at the backend server is not known. */
    record Failed(Refusal refusal, long spent) implements AttemptEnd {}

    /** The router cancelled the attempt. */
    record Cancelled(long spent) implements AttemptEnd {}
}
