package io.hornbeamfield.core.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.route.RetryPolicy;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against ending a begun stream as complete, and against joining it with bytes that do not continue it. */
final class StreamProgressTest {
    private static final OptionalLong NO_ID = OptionalLong.empty();

    private final StreamProgress progress = StreamProgress.unlimited();

    private void receive(long... ids) {
        progress.attemptStarted();
        for (long id : ids) {
            progress.accept(OptionalLong.of(id), true);
        }
    }

    private AttemptOutcome answeredStream() {
        return progress.outcomeOf(AttemptOutcome.ANSWERED, true, false);
    }

    @Test
    void aStreamWithEventsIsComplete() {
        receive(1, 2);
        assertThat(answeredStream()).isEqualTo(AttemptOutcome.ANSWERED);
        assertThat(progress.pieces()).isEqualTo(2);
    }

    @Test
    void aStreamWithoutEventsOrWithATruncatedOneIsBroken() {
        progress.attemptStarted();
        assertThat(answeredStream()).isEqualTo(AttemptOutcome.BROKEN);
        receive(1);
        assertThat(progress.outcomeOf(AttemptOutcome.ANSWERED, true, true)).isEqualTo(AttemptOutcome.BROKEN);
    }

    @Test
    void anAnswerToARequestThatHasNotBegunKeepsItsOutcome() {
        progress.attemptStarted();
        assertThat(progress.outcomeOf(AttemptOutcome.ANSWERED_FAILURE, false, false))
                .isEqualTo(AttemptOutcome.ANSWERED_FAILURE);
        assertThat(progress.outcomeOf(AttemptOutcome.ANSWERED, false, false)).isEqualTo(AttemptOutcome.ANSWERED);
    }

    @Test
    void noAnswerButItsContinuationCompletesABegunStream() {
        receive(1, 2);
        progress.attemptStarted();
        assertThat(progress.outcomeOf(AttemptOutcome.ANSWERED_FAILURE, false, false))
                .isEqualTo(AttemptOutcome.OTHER_ANSWER);
        assertThat(progress.outcomeOf(AttemptOutcome.ANSWERED, false, false)).isEqualTo(AttemptOutcome.OTHER_ANSWER);
        assertThat(answeredStream()).isEqualTo(AttemptOutcome.OTHER_ANSWER);
        assertThat(progress.accept(OptionalLong.of(2), true)).isFalse();
        assertThat(answeredStream()).isEqualTo(AttemptOutcome.OTHER_ANSWER);
        assertThat(progress.accept(OptionalLong.of(3), true)).isTrue();
        assertThat(answeredStream()).isEqualTo(AttemptOutcome.ANSWERED);
    }

    @Test
    void anEventWithoutAnIdContinuesAStreamOnlyAfterANewEvent() {
        receive(1);
        progress.attemptStarted();
        assertThat(progress.accept(NO_ID, true)).isFalse();
        assertThat(progress.accept(OptionalLong.of(2), true)).isTrue();
        assertThat(progress.accept(NO_ID, true)).isTrue();
    }

    @Test
    void aStreamIsNotResumableAfterDataWithoutAnId() {
        receive(1);
        assertThat(progress.retryPolicy(RetryPolicy.RESUMABLE_STREAM)).isEqualTo(RetryPolicy.RESUMABLE_STREAM);
        progress.accept(NO_ID, false);
        assertThat(progress.retryPolicy(RetryPolicy.RESUMABLE_STREAM)).isEqualTo(RetryPolicy.RESUMABLE_STREAM);
        progress.accept(NO_ID, true);
        assertThat(progress.retryPolicy(RetryPolicy.RESUMABLE_STREAM)).isEqualTo(RetryPolicy.STREAM);
        progress.accept(OptionalLong.of(2), true);
        assertThat(progress.retryPolicy(RetryPolicy.RESUMABLE_STREAM)).isEqualTo(RetryPolicy.RESUMABLE_STREAM);
    }

    @Test
    void commentsAreNoPieces() {
        progress.attemptStarted();
        assertThat(progress.accept(NO_ID, false)).isTrue();
        assertThat(progress.pieces()).isZero();
        assertThat(answeredStream()).isEqualTo(AttemptOutcome.BROKEN);
    }

    @Test
    void aCallerMayDeclareAnyNumberOfOutputTokens() {
        StreamProgress huge = StreamProgress.ofTokens(Long.MAX_VALUE);
        huge.attemptStarted();
        assertThat(huge.accept(OptionalLong.of(1), true)).isTrue();
    }

    /** Guards against a server that sends small events without end. */
    @Test
    void aStreamHasNoMoreEventsThanOutputTokensAndAFewMore() {
        StreamProgress limited = StreamProgress.ofTokens(100);
        limited.attemptStarted();
        for (int i = 0; i < 1_000; i++) {
            limited.accept(i % 2 == 0 ? NO_ID : OptionalLong.of(i), true);
            assertThat(limited.exceedsMaximum()).isEqualTo(i >= 116);
        }
        assertThat(limited.pieces()).isEqualTo(116);
    }
}
