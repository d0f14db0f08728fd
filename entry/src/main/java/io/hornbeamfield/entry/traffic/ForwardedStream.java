package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.attempt.AttemptOutcome;
import io.hornbeamfield.core.attempt.InputAllowance;
import io.hornbeamfield.core.attempt.StreamProgress;
import io.hornbeamfield.core.route.RetryPolicy;
import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.InboundRequest;
import java.io.ByteArrayOutputStream;
import java.time.Clock;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/** Sends a stream to its caller; its events may come from several servers. */
final class ForwardedStream {
    /** A server that sends more than this without a new event sends no stream. */
    private static final long MAX_INPUT_WITHOUT_EVENT = 2L * EventSplitter.MAX_EVENT_BYTES;

    /** Handling a part costs about as much as copying this many bytes. */
    private static final int PART_COST_BYTES = 64;

    private final InboundRequest request;
    private final Clock clock;
    private final long arrivedMs;
    private final StreamProgress progress;
    /** The new events of a part, which are written together. */
    private final ByteArrayOutputStream output = new ByteArrayOutputStream(256);

    private final InputAllowance allowance = new InputAllowance(MAX_INPUT_WITHOUT_EVENT, PART_COST_BYTES);
    private EventSplitter splitter = new EventSplitter(this::forward);
    private @Nullable Attempt source;
    private boolean started;
    private String mediaType = "";
    private long firstEventMs = -1;

    ForwardedStream(InboundRequest request, long maxOutputTokens, Clock clock) {
        this.progress = maxOutputTokens > 0 ? StreamProgress.ofTokens(maxOutputTokens) : StreamProgress.unlimited();
        this.request = request;
        this.clock = clock;
        this.arrivedMs = clock.millis();
    }

    boolean started() {
        return started;
    }

    /** Returns the id of the last forwarded event, negative if there is none. */
    long lastEventId() {
        return progress.lastEventId();
    }

    /** Returns the number of forwarded events. */
    long events() {
        return progress.pieces();
    }

    /** Returns the number of bytes that wait for the rest of their event or for the caller. */
    long bufferedBytes() {
        return splitter.remainingBytes() + request.unsentBytes();
    }

    /** Returns whether the servers sent more events than the answer can have. */
    boolean exceedsMaximum() {
        return progress.exceedsMaximum();
    }

    /** Returns the retry policy for the rest of the request. */
    RetryPolicy retryPolicy(RetryPolicy declared) {
        return progress.retryPolicy(declared);
    }

    /** Returns the outcome of an attempt, given the outcome of its answer without regard to the stream so far. */
    AttemptOutcome outcomeOf(Attempt ended, AttemptOutcome outcome) {
        return progress.outcomeOf(outcome, ended.isStream(), splitter.remainingBytes() > 0);
    }

    /** Records that a further server answers the request. */
    void attemptStarted(Attempt attempt) {
        progress.attemptStarted();
        source = attempt;
        // A partial event of a broken attempt must not be joined with the events of the next attempt.
        splitter = new EventSplitter(this::forward);
        allowance.renew();
    }

    /** Returns whether a successful answer can be a part of the stream: it must have the type of the first answer. */
    boolean isContinuedBy(List<Header> answerHeaders) {
        return !started || mediaType.equals(mediaType(answerHeaders));
    }

    private static String mediaType(List<Header> headers) {
        return Header.find(headers, "Content-Type")
                .orElse("")
                .split(";", 2)[0]
                .trim()
                .toLowerCase(Locale.ROOT);
    }

    /** Returns the time from the request to the start of the stream, negative if it has not started. */
    long firstEventMs() {
        return firstEventMs;
    }

    /**
     * Forwards the new events of a part of the current answer, in one write. Returns false if the server has sent too
     * much without a new event.
     */
    boolean forward(byte[] part) {
        boolean valid = allowance.charge(part.length) && splitter.feed(part);
        if (output.size() > 0) {
            request.write(output.toByteArray());
            output.reset();
        }
        return valid;
    }

    private void forward(OptionalLong id, boolean hasData, byte[] buffer, int offset, int length) {
        Attempt from = source;
        if (from == null || !progress.accept(id, hasData)) {
            return;
        }
        start(from);
        output.write(buffer, offset, length);
        if (id.isPresent() || hasData) {
            allowance.renew();
        }
        if (id.isPresent()) {
            from.recordEvent(clock.millis());
        }
    }

    private void start(Attempt from) {
        if (!started) {
            started = true;
            mediaType = mediaType(from.headers());
            firstEventMs = clock.millis() - arrivedMs;
            request.start(from.status(), Responses.endToEnd(from.headers()));
        }
    }
}
