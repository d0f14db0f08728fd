package io.hornbeamfield.core.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.core.route.RetryPolicy;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against an answer that promises "not run" for a request that a server has run, or may still run. */
final class NotRunPromiseTest {
    private static final int MAX_ATTEMPTS = 3;
    private static final List<Integer> STATUSES =
            List.of(200, 302, 400, 404, 408, 413, 421, 425, 429, 500, 502, 503, 504, 507);

    /** An answer of a server, which has run the request unless it says otherwise. */
    private record ServerAnswer(int status, boolean statesNotRun, AnswerMatch match) {
        AttemptOutcome outcome() {
            return NotRunPromise.outcomeOf(status, statesNotRun, match);
        }
    }

    @ParameterizedTest(name = "status {0}, states that it did not run: {1}, belongs to the request: {2} -> {3}")
    @CsvSource({
        "503, true,  OWN,      DECLINED",
        "429, true,  OWN,      DECLINED",
        "408, true,  OWN,      DECLINED",
        "421, true,  OWN,      DECLINED",
        "400, true,  OWN,      DECLINED",
        "500, true,  OWN,      DECLINED",
        "503, false, OWN,      UNPROVEN_REFUSAL",
        "429, false, OWN,      UNPROVEN_REFUSAL",
        "408, false, OWN,      UNPROVEN_REFUSAL",
        "421, false, OWN,      UNPROVEN_REFUSAL",
        "503, true,  UNPROVEN, BROKEN",
        "503, false, UNPROVEN, BROKEN",
        "421, false, UNPROVEN, BROKEN",
        "503, true,  OTHER,    BROKEN",
        "200, false, OTHER,    BROKEN",
        "200, true,  OWN,      BROKEN",
        "302, true,  OWN,      BROKEN",
        "200, false, OWN,      ANSWERED",
        "200, false, UNPROVEN, ANSWERED",
        "404, false, OWN,      ANSWERED",
        "500, false, OWN,      ANSWERED_FAILURE",
        "502, false, OWN,      ANSWERED_FAILURE",
        "504, false, UNPROVEN, ANSWERED_FAILURE",
    })
    void aRefusalIsBelievedOnlyIfItIsTheRequestsOwnAndStatesThatNothingRan(
            int status, boolean statesNotRun, AnswerMatch match, AttemptOutcome expected) {
        assertThat(NotRunPromise.outcomeOf(status, statesNotRun, match)).isEqualTo(expected);
    }

    /** Follows all sequences of answers of up to three servers, with the time and the retry budget ending anywhere. */
    @ParameterizedTest
    @EnumSource(RetryPolicy.class)
    void noSequenceOfAnswersEndsWithAPromiseAfterAPossibleRun(RetryPolicy retryPolicy) {
        List<String> wrong = new ArrayList<>();
        for (boolean partSent : List.of(false, true)) {
            for (int last = 1; last <= MAX_ATTEMPTS; last++) {
                follow(retryPolicy, partSent, last, 0, "", wrong);
            }
        }
        assertThat(wrong).isEmpty();
    }

    private static void follow(
            RetryPolicy policy, boolean partSent, int lastAttempt, int runs, String path, List<String> wrong) {
        int attempt = path.isEmpty() ? 1 : path.split(" ").length + 1;
        for (ServerAnswer a : answers()) {
            AttemptOutcome outcome = a.outcome();
            // An own refusal is all that proves that nothing ran.
            int runsNow = runs + (a.statesNotRun() && a.match() == AnswerMatch.OWN && a.status() >= 400 ? 0 : 1);
            AttemptState state = new AttemptState(policy, runsNow, MAX_ATTEMPTS, partSent, attempt < lastAttempt, true);
            NextStep next = AttemptPolicy.next(outcome, state);
            String taken = path + (path.isEmpty() ? "" : " ") + a.status() + (a.statesNotRun() ? "!" : "") + a.match();
            if (next == NextStep.SEND_AGAIN || next == NextStep.RESUME) {
                if (runsNow > 0 && !policy.allowsRerun()) {
                    wrong.add(taken + ": sent again");
                } else {
                    follow(policy, partSent, lastAttempt, runsNow, taken, wrong);
                }
            } else if (promisesNotRun(next, a.status()) && runsNow > 0) {
                wrong.add(taken + ": " + next);
            }
        }
    }

    private static boolean promisesNotRun(NextStep last, int status) {
        return last == NextStep.REFUSE || (last == NextStep.DELIVER && NotRunPromise.isMadeBy(status));
    }

    private static List<ServerAnswer> answers() {
        List<ServerAnswer> answers = new ArrayList<>();
        for (int status : STATUSES) {
            for (AnswerMatch match : AnswerMatch.values()) {
                answers.add(new ServerAnswer(status, false, match));
                answers.add(new ServerAnswer(status, true, match));
            }
        }
        return answers;
    }

    @ParameterizedTest
    @EnumSource(AttemptOutcome.class)
    void onlyAnAttemptThatNeverReachedAServerOrWasDeclinedHasCertainlyNotRun(AttemptOutcome outcome) {
        boolean certain = outcome == AttemptOutcome.NOT_CONNECTED || outcome == AttemptOutcome.DECLINED;
        assertThat(outcome.mayHaveRun()).isEqualTo(!certain);
    }

    @ParameterizedTest
    @EnumSource(ResultCode.class)
    void ownRefusalsAfterAPossibleRunPromiseNothing(ResultCode code) {
        assertThat(NotRunPromise.isMadeBy(NotRunPromise.refusalCode(code, true).httpStatus()))
                .isFalse();
        assertThat(NotRunPromise.refusalCode(code, false)).isEqualTo(code);
    }

    @Test
    void aPromiseIsOneOfFourStatuses() {
        assertThat(STATUSES.stream().filter(NotRunPromise::isMadeBy)).containsExactly(408, 421, 429, 503);
    }
}
