package io.hornbeamfield.it.judge;

import java.util.OptionalInt;

/**
 * What a caller experienced with one request. The id is that of {@link FarEnds}; {@code needTokens} is the worst case
 * that a router reserves; times are epoch milliseconds.
 */
public record CallerOutcome(
        String id,
        String workspace,
        String budget,
        boolean model,
        long needTokens,
        long sentMs,
        long endedMs,
        Kind kind,
        OptionalInt code,
        String detail) {

    /** How a request ended for its caller. */
    public enum Kind {
        /** The whole answer to this request arrived. */
        ANSWERED,
        /** A refusal arrived that states that the request was not run. */
        REFUSED_NOT_RUN,
        /** The caller cannot know whether the request was run. */
        UNKNOWN,
        /** An answer arrived that is not whole or belongs to another request. */
        WRONG_ANSWER
    }

    /** Returns whether the refusal says that the budget does not cover the request. */
    public boolean refusedForBudget() {
        return kind == Kind.REFUSED_NOT_RUN && code.orElse(0) / 1000 == 2;
    }
}
