package io.hornbeamfield.core.attempt;

import io.hornbeamfield.core.route.RetryPolicy;
import java.util.OptionalLong;

/**
 * What the caller of a stream has received of it, over all attempts. Decides which events of a further attempt continue
 * the stream and whether the end of an answer is the end of the stream. Not thread-safe.
 *
 * <pre>{@code
 * StreamProgress progress = StreamProgress.ofTokens(400);
 * progress.attemptStarted();
 * if (progress.accept(id, true)) {
 *     forward(event);
 * }
 * AttemptOutcome outcome = progress.outcomeOf(AttemptOutcome.ANSWERED, true, false);
 * }</pre>
 */
public final class StreamProgress {
    /** Events beside those with output, for example an end marker. */
    private static final int MAX_EXTRA_PIECES = 16;

    private final long maxPieces;
    private boolean begun;
    private boolean positionKnown = true;
    private boolean attemptContinues;
    private long lastEventId = -1;
    private long pieces;
    private boolean excessive;

    private StreamProgress(long maxPieces) {
        this.maxPieces = maxPieces;
    }

    /** Starts a stream of which each event holds one or more of the given number of output tokens. */
    public static StreamProgress ofTokens(long maxOutputTokens) {
        return new StreamProgress(Math.min(maxOutputTokens, Long.MAX_VALUE - MAX_EXTRA_PIECES) + MAX_EXTRA_PIECES);
    }

    /** Starts a stream whose size is not known. */
    public static StreamProgress unlimited() {
        return new StreamProgress(Long.MAX_VALUE);
    }

    /** Returns whether the caller has received a part of the stream. */
    public boolean begun() {
        return begun;
    }

    /** Returns the id of the last accepted event, negative if there is none. */
    public long lastEventId() {
        return lastEventId;
    }

    /** Returns the number of accepted events with an id or data. */
    public long pieces() {
        return pieces;
    }

    /** Returns whether the servers sent more events than the answer can have. */
    public boolean exceedsMaximum() {
        return excessive;
    }

    /** Records that a further server answers the request. */
    public void attemptStarted() {
        attemptContinues = !begun;
    }

    /**
     * Returns whether an event of the current attempt is forwarded. An event that the caller has is not, nor is one
     * without an id from a resumed attempt that has not sent a new event yet, because it may repeat one of the caller's
     * events or be no part of the stream at all.
     */
    public boolean accept(OptionalLong id, boolean hasData) {
        if (id.isPresent() ? id.getAsLong() <= lastEventId : !attemptContinues) {
            return false;
        }
        boolean isPiece = id.isPresent() || hasData;
        if (isPiece && pieces >= maxPieces) {
            excessive = true;
            return false;
        }
        begun = true;
        attemptContinues = true;
        if (id.isPresent()) {
            lastEventId = id.getAsLong();
            positionKnown = true;
        } else if (hasData) {
            positionKnown = false;
        }
        pieces += isPiece ? 1 : 0;
        return true;
    }

    /**
     * Returns the retry policy for the rest of a request. A stream cannot be resumed after data without an id, because
     * a further server would send that data again.
     */
    public RetryPolicy retryPolicy(RetryPolicy declared) {
        return declared == RetryPolicy.RESUMABLE_STREAM && !positionKnown ? RetryPolicy.STREAM : declared;
    }

    /**
     * Returns the outcome of an attempt, given the outcome of its answer as such.
     *
     * @param outcome outcome of the answer without regard to what the caller has received
     * @param isStream whether the answer was a stream of events that can be forwarded to the caller
     * @param endsInsideEvent whether the stream ended inside an event
     */
    public AttemptOutcome outcomeOf(AttemptOutcome outcome, boolean isStream, boolean endsInsideEvent) {
        if (outcome != AttemptOutcome.ANSWERED && outcome != AttemptOutcome.ANSWERED_FAILURE) {
            return outcome;
        }
        if (!isStream) {
            return begun ? AttemptOutcome.OTHER_ANSWER : outcome;
        }
        if (endsInsideEvent || pieces == 0) {
            return AttemptOutcome.BROKEN;
        }
        return attemptContinues ? outcome : AttemptOutcome.OTHER_ANSWER;
    }
}
