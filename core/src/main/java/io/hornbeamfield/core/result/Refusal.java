package io.hornbeamfield.core.result;

import java.util.OptionalInt;

/**
 * A refusal: its code, a text that says what happened and what to do, and an optional delay before a retry.
 *
 * <pre>{@code
 * Refusal.of(ResultCode.UNKNOWN_POOL, "Pool \"ledger\" does not exist. Use one of: models.");
 * }</pre>
 */
public record Refusal(ResultCode code, String detail, OptionalInt retryAfterSeconds) {

    /** Creates a refusal without a retry delay. */
    public static Refusal of(ResultCode code, String detail) {
        return new Refusal(code, detail, OptionalInt.empty());
    }

    /** Returns this refusal with a retry delay. */
    public Refusal retryAfter(int seconds) {
        return new Refusal(code, detail, OptionalInt.of(seconds));
    }
}
