package io.hornbeamfield.client.internal;

import io.hornbeamfield.client.AnswerListener;
import io.hornbeamfield.client.Outcome;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * The text of a model answer, collected over all tries. Offsets belong to one run of the request; when another run
 * answers, the text starts again.
 */
final class AnswerText {
    private final AnswerListener listener;
    private final StringBuilder text = new StringBuilder();
    private Optional<String> run = Optional.empty();
    private long next;

    AnswerText(AnswerListener listener) {
        this.listener = listener;
    }

    long next() {
        return next;
    }

    Optional<String> run() {
        return run;
    }

    /** Notes which run the following parts belong to. */
    void answeredBy(String name) {
        boolean other = run.isPresent() && !run.get().equals(name);
        run = Optional.of(name);
        if (other && next > 0) {
            text.setLength(0);
            next = 0;
            listener.restarted();
        }
    }

    /** Adds a part. Returns false when parts before it are missing. */
    boolean add(long offset, String content) {
        if (offset > next) {
            return false;
        }
        if (offset == next) {
            next++;
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
