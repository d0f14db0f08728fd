package io.hornbeamfield.core.attempt;

import io.hornbeamfield.core.route.RetryPolicy;

/**
 * Decides the next step after an attempt has ended. A request that may have run is never refused as not run, only
 * failed with an unknown outcome, and it is retried only if the retry policy of its route allows it. A stream of which
 * the caller has received a part is delivered to its end or cut; no other answer can follow it.
 *
 * <pre>{@code
 * NextStep step = AttemptPolicy.next(AttemptOutcome.DECLINED, state);
 * }</pre>
 */
public final class AttemptPolicy {
    private AttemptPolicy() {}

    /** Returns the next step after an attempt with the given outcome. */
    public static NextStep next(AttemptOutcome outcome, AttemptState state) {
        return switch (outcome) {
            case ANSWERED -> NextStep.DELIVER;
            case ANSWERED_FAILURE -> afterFailure(state);
            case NOT_CONNECTED, DECLINED -> afterNoRun(state);
            case UNPROVEN_REFUSAL, BROKEN, SILENT, OTHER_ANSWER -> afterPossibleRun(state);
        };
    }

    private static NextStep afterFailure(AttemptState state) {
        if (state.partialAnswerSent()) {
            return afterPossibleRun(state);
        }
        return state.retryPolicy() == RetryPolicy.IDEMPOTENT && state.mayRerun()
                ? NextStep.SEND_AGAIN
                : NextStep.DELIVER;
    }

    private static NextStep afterNoRun(AttemptState state) {
        if (state.partialAnswerSent()) {
            return state.mayRetry() ? NextStep.RESUME : NextStep.CUT;
        }
        if (state.mayRetry()) {
            return NextStep.SEND_AGAIN;
        }
        return state.possibleRuns() == 0 ? NextStep.REFUSE : NextStep.FAIL;
    }

    private static NextStep afterPossibleRun(AttemptState state) {
        if (state.partialAnswerSent()) {
            return state.mayRerun() && state.retryPolicy() == RetryPolicy.RESUMABLE_STREAM
                    ? NextStep.RESUME
                    : NextStep.CUT;
        }
        return state.mayRerun() ? NextStep.SEND_AGAIN : NextStep.FAIL;
    }
}
