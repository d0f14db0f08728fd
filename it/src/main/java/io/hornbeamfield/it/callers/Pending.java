package io.hornbeamfield.it.callers;

import io.hornbeamfield.client.Outcome;
import io.hornbeamfield.it.judge.CallerOutcome;
import io.hornbeamfield.it.judge.CallerOutcome.Kind;
import java.time.Clock;
import java.util.OptionalInt;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/** A request that was sent and the check of its answer. */
record Pending(String id, String workspace, boolean model, long needTokens, long sentMs, Clock clock) {

    CallerOutcome ended(@Nullable Outcome outcome, @Nullable Throwable failure, Predicate<String> isOwnAnswer) {
        if (outcome instanceof Outcome.Answered a) {
            if (a.status() != 200) {
                return end(Kind.WRONG_ANSWER, OptionalInt.of(a.status()), a.text());
            }
            boolean right = isOwnAnswer.test(a.text());
            return end(right ? Kind.ANSWERED : Kind.WRONG_ANSWER, OptionalInt.empty(), right ? "" : a.text());
        }
        if (outcome instanceof Outcome.RefusedNotRun r) {
            return end(
                    Kind.REFUSED_NOT_RUN,
                    OptionalInt.of(r.refusal().code().number()),
                    r.refusal().detail());
        }
        if (outcome instanceof Outcome.OutcomeUnknown u) {
            return end(
                    Kind.UNKNOWN,
                    OptionalInt.of(u.refusal().code().number()),
                    u.refusal().detail());
        }
        return end(Kind.UNKNOWN, OptionalInt.empty(), "The caller library failed: " + failure);
    }

    private CallerOutcome end(Kind kind, OptionalInt code, String detail) {
        return new CallerOutcome(
                id, workspace, workspace, model, needTokens, sentMs, clock.millis(), kind, code, detail);
    }
}
