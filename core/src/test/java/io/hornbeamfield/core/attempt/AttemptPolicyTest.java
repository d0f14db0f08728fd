package io.hornbeamfield.core.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.route.RetryPolicy;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against running a request twice that may run once, and against refusing as not run one that may have run. */
final class AttemptPolicyTest {

    @ParameterizedTest(name = "{0} of {1}, {2} possible runs of {3}, partial answer sent {4}: {5}")
    @CsvSource({
        // outcome, retryPolicy, possibleRuns, maxAttempts, partialAnswerSent, expected
        "ANSWERED,         NON_IDEMPOTENT,   1, 1, false, DELIVER",
        "ANSWERED,         IDEMPOTENT,       1, 2, false, DELIVER",
        "ANSWERED_FAILURE, NON_IDEMPOTENT,   1, 3, false, DELIVER",
        "ANSWERED_FAILURE, STREAM,           1, 3, false, DELIVER",
        "ANSWERED_FAILURE, IDEMPOTENT,       1, 2, false, SEND_AGAIN",
        "ANSWERED_FAILURE, IDEMPOTENT,       2, 2, false, DELIVER",
        "UNPROVEN_REFUSAL, NON_IDEMPOTENT,   1, 3, false, FAIL",
        "UNPROVEN_REFUSAL, STREAM,           1, 3, false, FAIL",
        "UNPROVEN_REFUSAL, IDEMPOTENT,       1, 2, false, SEND_AGAIN",
        "UNPROVEN_REFUSAL, IDEMPOTENT,       2, 2, false, FAIL",
        "UNPROVEN_REFUSAL, RESUMABLE_STREAM, 1, 2, false, SEND_AGAIN",
        "UNPROVEN_REFUSAL, RESUMABLE_STREAM, 1, 2, true,  RESUME",
        "UNPROVEN_REFUSAL, STREAM,           1, 2, true,  CUT",
        "NOT_CONNECTED,    NON_IDEMPOTENT,   0, 1, false, SEND_AGAIN",
        "NOT_CONNECTED,    RESUMABLE_STREAM, 1, 2, true,  RESUME",
        "DECLINED,         NON_IDEMPOTENT,   0, 1, false, SEND_AGAIN",
        "DECLINED,         STREAM,           0, 1, false, SEND_AGAIN",
        "BROKEN,           NON_IDEMPOTENT,   1, 3, false, FAIL",
        "BROKEN,           STREAM,           1, 3, false, FAIL",
        "BROKEN,           STREAM,           1, 3, true,  CUT",
        "BROKEN,           IDEMPOTENT,       1, 2, false, SEND_AGAIN",
        "BROKEN,           IDEMPOTENT,       2, 2, false, FAIL",
        "BROKEN,           RESUMABLE_STREAM, 1, 2, false, SEND_AGAIN",
        "BROKEN,           RESUMABLE_STREAM, 1, 2, true,  RESUME",
        "BROKEN,           RESUMABLE_STREAM, 2, 2, true,  CUT",
        "ANSWERED,         RESUMABLE_STREAM, 1, 2, true,  DELIVER",
        "ANSWERED_FAILURE, RESUMABLE_STREAM, 1, 2, true,  RESUME",
        "ANSWERED_FAILURE, RESUMABLE_STREAM, 2, 2, true,  CUT",
        "OTHER_ANSWER,     RESUMABLE_STREAM, 1, 2, true,  RESUME",
        "OTHER_ANSWER,     RESUMABLE_STREAM, 2, 2, true,  CUT",
        "OTHER_ANSWER,     STREAM,           1, 2, true,  CUT",
        "SILENT,           NON_IDEMPOTENT,   1, 2, false, FAIL",
        "SILENT,           IDEMPOTENT,       1, 2, false, SEND_AGAIN",
        "SILENT,           RESUMABLE_STREAM, 1, 2, true,  RESUME",
    })
    void eachOutcomeHasItsNextStepWhileThereIsTimeAndRetryBudget(
            AttemptOutcome outcome, RetryPolicy retryPolicy, int runs, int max, boolean part, NextStep expected) {
        AttemptState state = new AttemptState(retryPolicy, runs, max, part, true, true);
        assertThat(AttemptPolicy.next(outcome, state)).isEqualTo(expected);
    }

    @ParameterizedTest(name = "{0} of {1}, {2} possible runs, partial answer sent {3}: {4}")
    @CsvSource({
        "NOT_CONNECTED,    NON_IDEMPOTENT,   0, false, REFUSE",
        "DECLINED,         NON_IDEMPOTENT,   0, false, REFUSE",
        "DECLINED,         IDEMPOTENT,       1, false, FAIL",
        "DECLINED,         RESUMABLE_STREAM, 1, true,  CUT",
        "ANSWERED_FAILURE, IDEMPOTENT,       1, false, DELIVER",
        "ANSWERED_FAILURE, RESUMABLE_STREAM, 1, true,  CUT",
        "OTHER_ANSWER,     RESUMABLE_STREAM, 1, true,  CUT",
        "BROKEN,           IDEMPOTENT,       1, false, FAIL",
        "BROKEN,           RESUMABLE_STREAM, 1, true,  CUT",
    })
    void nothingIsSentAgainWithoutTimeOrRetryBudget(
            AttemptOutcome outcome, RetryPolicy retryPolicy, int runs, boolean part, NextStep expected) {
        assertThat(AttemptPolicy.next(outcome, new AttemptState(retryPolicy, runs, 3, part, false, true)))
                .isEqualTo(expected);
        assertThat(AttemptPolicy.next(outcome, new AttemptState(retryPolicy, runs, 3, part, true, false)))
                .isEqualTo(expected);
    }

    @Test
    void aRequestThatMayHaveRunIsNeverRefusedAsNotRun() {
        for (AttemptState state : allStates()) {
            for (AttemptOutcome outcome : AttemptOutcome.values()) {
                if (outcome.mayHaveRun() || state.possibleRuns() > 0) {
                    assertThat(AttemptPolicy.next(outcome, state)).isNotEqualTo(NextStep.REFUSE);
                }
            }
        }
    }

    @Test
    void aRequestThatMustNotBeRepeatedIsNeverSentAgainAfterAPossibleRun() {
        for (AttemptState state : allStates()) {
            if (!state.retryPolicy().allowsRerun()) {
                for (AttemptOutcome outcome : List.of(
                        AttemptOutcome.BROKEN,
                        AttemptOutcome.SILENT,
                        AttemptOutcome.UNPROVEN_REFUSAL,
                        AttemptOutcome.ANSWERED_FAILURE)) {
                    assertThat(AttemptPolicy.next(outcome, state)).isNotIn(NextStep.SEND_AGAIN, NextStep.RESUME);
                }
            }
        }
    }

    /** Guards against a begun stream that ends as complete, or with an error in it, after another server's failure. */
    @Test
    void aBegunStreamIsDeliveredToItsEndOrResumedOrCut() {
        for (AttemptState state : allStates()) {
            for (AttemptOutcome outcome : AttemptOutcome.values()) {
                if (state.partialAnswerSent() && outcome != AttemptOutcome.ANSWERED) {
                    assertThat(AttemptPolicy.next(outcome, state)).isIn(NextStep.RESUME, NextStep.CUT);
                }
            }
        }
    }

    private static List<AttemptState> allStates() {
        List<AttemptState> states = new ArrayList<>();
        for (RetryPolicy retryPolicy : RetryPolicy.values()) {
            for (int bits = 0; bits < 8; bits++) {
                for (int runs = 0; runs < 3; runs++) {
                    states.add(
                            new AttemptState(retryPolicy, runs, 2, (bits & 1) != 0, (bits & 2) != 0, (bits & 4) != 0));
                }
            }
        }
        return states;
    }
}
