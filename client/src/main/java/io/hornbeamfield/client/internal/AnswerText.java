package io.hornbeamfield.client.internal;

import io.hornbeamfield.client.AnswerListener;
import io.hornbeamfield.client.Outcome;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Text of a model answer, accumulated over all attempts. Offsets are valid within one run of the request; when another
 * run answers, the text restarts at offset 0.
 */
final class AnswerText {
    private final AnswerListener listener;
    private final StringBuilder text = new StringBuilder();
    private Optional<String> runId = Optional.empty();
    private long nextOffset;
    private boolean begun;

    AnswerText(AnswerListener listener) {
        this.listener = listener;
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
            listener.restarted();
        }
    }

    /** Appends a part, or ignores it if it is a duplicate. Returns false if parts before it are missing. */
    boolean add(long offset, String content) {
        if (offset > nextOffset) {
            return false;
        }
        if (offset == nextOffset) {
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
