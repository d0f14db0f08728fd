package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.attempt.AnswerMatch;
import io.hornbeamfield.core.attempt.AttemptOutcome;
import io.hornbeamfield.core.attempt.NotRunPromise;
import io.hornbeamfield.core.placement.ServerNotices;
import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.platform.ServerNotice;
import io.hornbeamfield.platform.Wire;
import java.util.List;
import java.util.Optional;

/**
 * The head of a server's answer.
 *
 * @param outcome outcome of the attempt if the rest of the answer arrives
 * @param fault why the answer cannot be used, empty if it can
 */
record AnswerHead(int status, List<Header> headers, AttemptOutcome outcome, Optional<String> fault) {
    /** No head has arrived. */
    static final AnswerHead NONE = new AnswerHead(0, List.of(), AttemptOutcome.BROKEN, Optional.empty());

    /**
     * Returns the head of an answer.
     *
     * @param attemptId id of the request
     * @param connectionReused whether the connection has carried an earlier request
     */
    static AnswerHead of(int status, List<Header> headers, String attemptId, boolean connectionReused) {
        String answeredId = Header.find(headers, Wire.ATTEMPT_ID).orElse("");
        AnswerMatch match = AnswerMatch.of(attemptId, answeredId, connectionReused);
        boolean statesNotRun = Header.find(headers, Wire.NOT_RUN).isPresent();
        AttemptOutcome outcome = NotRunPromise.outcomeOf(status, statesNotRun, match);
        return new AnswerHead(status, headers, outcome, faultIn(status, headers, match, outcome, attemptId));
    }

    private static Optional<String> faultIn(
            int status, List<Header> headers, AnswerMatch match, AttemptOutcome outcome, String attemptId) {
        if (match == AnswerMatch.OTHER) {
            String answeredId = Header.find(headers, Wire.ATTEMPT_ID).orElse("");
            return Optional.of("the response belongs to attempt " + answeredId + ", not " + attemptId);
        }
        if (outcome == AttemptOutcome.BROKEN) {
            return Optional.of(
                    match == AnswerMatch.OWN
                            ? "the response has status " + status + " and " + Wire.NOT_RUN
                            : "the refusal on a reused connection has no attempt id");
        }
        if (isSuccess(status) && Header.find(headers, Wire.SIGNATURE).isEmpty()) {
            return Optional.of("the response has no signature");
        }
        // Callers and this system ask for no encoding, so that this is not the body that the server meant to send.
        return isSuccess(status) && Header.find(headers, "Content-Encoding").isPresent()
                ? Optional.of("the response has a Content-Encoding")
                : Optional.empty();
    }

    private static boolean isSuccess(int status) {
        return status / 100 == 2;
    }

    boolean isSuccess() {
        return isSuccess(status);
    }

    /** Returns the time after which the server asks for the request to be sent again, 0 if it names none. */
    long retryAfterMs() {
        return outcome == AttemptOutcome.BROKEN
                ? 0
                : Math.min(ServerNotice.retryAfterMs(headers).orElse(0), ServerNotices.MAX_PAUSE_MS);
    }

    /** Describes the answer for the log and for problem details. */
    String describe() {
        return "status " + status + (outcome == AttemptOutcome.UNPROVEN_REFUSAL ? " without " + Wire.NOT_RUN : "");
    }
}
