package io.hornbeamfield.core.attempt;

import io.hornbeamfield.core.route.RetryPolicy;

/**
 * Decides what follows the end of an attempt. A request that may have run is refused only as "outcome unknown", and it
 * is sent again only if its route allows that.
 *
 * <pre>{@code
 * NextStep step = AttemptPolicy.next(AttemptOutcome.DECLINED, state);
 * }</pre>
 */
public final class AttemptPolicy {
    private AttemptPolicy() {}

    /** Returns the next step. */
    public static NextStep next(AttemptOutcome end, AttemptState state) {
        return switch (end) {
            case ANSWERED -> NextStep.DELIVER;
            case ANSWERED_FAILURE ->
                state.retryPolicy() == RetryPolicy.IDEMPOTENT && state.mayRerun()
                        ? NextStep.SEND_AGAIN
                        : NextStep.DELIVER;
            case NOT_CONNECTED, DECLINED -> afterNoRun(state);
            case BROKEN, SILENT -> afterPossibleRun(state);
        };
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
