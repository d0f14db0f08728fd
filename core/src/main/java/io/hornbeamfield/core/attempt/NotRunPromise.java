package io.hornbeamfield.core.attempt;

import io.hornbeamfield.core.result.Ran;
import io.hornbeamfield.core.result.ResultCode;
import java.util.Set;

/**
 * Decides which answers may promise a caller that its request has not run and never will. Callers take some statuses as
 * that promise and repeat even a request that must not run twice. A backend server may choose the same statuses for a
 * request that it has run, so its status alone proves nothing: it must state that it did not run the request.
 *
 * <p>Designed for servers that fail a part of their requests after they have run them, and for full servers that
 * decline many.
 *
 * <pre>{@code
 * AttemptOutcome outcome = NotRunPromise.outcomeOf(503, false, AnswerMatch.OWN); // UNPROVEN_REFUSAL
 * }</pre>
 */
public final class NotRunPromise {
    /** Request Timeout, Misdirected Request, Too Many Requests and Service Unavailable. */
    private static final Set<Integer> STATUSES = Set.of(408, 421, 429, 503);

    private static final int FIRST_ERROR = 400;
    private static final int FIRST_SERVER_ERROR = 500;

    private NotRunPromise() {}

    /** Returns whether callers take an answer with this status as the promise. */
    public static boolean isMadeBy(int status) {
        return STATUSES.contains(status);
    }

    /**
     * Returns the outcome of an attempt with a complete answer. A refusal that may be a late copy of another one says
     * nothing about this request, and an answer that reports no error but states that nothing ran contradicts itself.
     *
     * @param status status of the answer
     * @param statesNotRun whether the answer states that the server did not run the request
     * @param match whether the answer belongs to the request
     */
    public static AttemptOutcome outcomeOf(int status, boolean statesNotRun, AnswerMatch match) {
        boolean refusal = statesNotRun || isMadeBy(status);
        if (match == AnswerMatch.OTHER || (refusal && match == AnswerMatch.UNPROVEN)) {
            return AttemptOutcome.BROKEN;
        }
        if (statesNotRun) {
            return status >= FIRST_ERROR ? AttemptOutcome.DECLINED : AttemptOutcome.BROKEN;
        }
        if (refusal) {
            return AttemptOutcome.UNPROVEN_REFUSAL;
        }
        return status >= FIRST_SERVER_ERROR ? AttemptOutcome.ANSWERED_FAILURE : AttemptOutcome.ANSWERED;
    }

    /**
     * Returns the code with which this system refuses a request.
     *
     * @param code code that applies if no server has run the request
     * @param mayHaveRun whether a server may have run it
     */
    public static ResultCode refusalCode(ResultCode code, boolean mayHaveRun) {
        return mayHaveRun && code.ran() == Ran.NO ? ResultCode.BACKEND_FAILED : code;
    }
}
