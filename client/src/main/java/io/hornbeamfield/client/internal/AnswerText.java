package io.hornbeamfield.client.internal;

import io.hornbeamfield.client.AnswerListener;
import io.hornbeamfield.client.Outcome;
import io.hornbeamfield.core.attempt.InputAllowance;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Text of a model answer, accumulated over all attempts. Offsets are valid within one run of the request; when another
 * run answers, the text restarts at offset 0.
 */
final class AnswerText {
    /** Tokens above the limit of the request, which an engine may count differently. */
    private static final int MAX_EXTRA_TOKENS = 16;

    private static final int MAX_BYTES = 16 * 1024 * 1024;

    /** Work of a token beside copying its text. */
    private static final int TOKEN_COST_BYTES = 64;

    private final AnswerListener listener;
    private final long maxTokens;
    private final InputAllowance allowance = new InputAllowance(MAX_BYTES, TOKEN_COST_BYTES);
    private final StringBuilder text = new StringBuilder();
    private Optional<String> runId = Optional.empty();
    private long nextOffset;
    private boolean excessive;
    private boolean begun;

    AnswerText(AnswerListener listener, long maxTokens) {
        this.listener = listener;
        this.maxTokens = maxTokens;
    }

    /** Returns whether a part was received that is beyond what the answer can have. */
    boolean isExcessive() {
        return excessive;
    }

    long nextOffset() {
        return nextOffset;
    }

    /** Returns whether a part of any run has arrived, even if its text was discarded. */
    boolean begun() {
        return begun;
    }

    Optional<String> runId() {
        return runId;
    }

    /** Sets the run that the following parts belong to, and discards the text of any other run. */
    void setRun(String newRunId) {
        boolean runChanged = runId.isPresent() && !runId.get().equals(newRunId);
        runId = Optional.of(newRunId);
        if (runChanged && nextOffset > 0) {
            text.setLength(0);
            nextOffset = 0;
            excessive = false;
            allowance.renew();
            listener.restarted();
        }
    }

    /**
     * Appends a part, or ignores it if it is a duplicate or excessive. Returns false if parts before it are missing.
     */
    boolean add(long offset, String content) {
        if (offset > nextOffset) {
            return false;
        }
        if (offset == nextOffset) {
            excessive = nextOffset >= maxTokens + MAX_EXTRA_TOKENS || !allowance.charge(2 * content.length());
        }
        if (offset == nextOffset && !excessive) {
            nextOffset++;
            begun = true;
            text.append(content);
            listener.text(offset, content);
        }
        return true;
    }

    Outcome.Answered answered(long promptTokens, long completionTokens) {
        return new Outcome.Answered(
                200, "text/plain", text.toString().getBytes(StandardCharsets.UTF_8), promptTokens, completionTokens);
    }
}
