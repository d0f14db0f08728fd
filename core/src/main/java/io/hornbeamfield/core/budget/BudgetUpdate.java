package io.hornbeamfield.core.budget;

/**
 * A planned conditional update of a budget record. It applies only if the record that it was planned on is still
 * current. {@code tokens} is the number of tokens taken or returned.
 */
public record BudgetUpdate(Kind kind, long tokens, BudgetRecord record) {
    /** The effect of an update. */
    public enum Kind {
        /** Takes tokens from the free balance. */
        TAKE,
        /** Returns tokens to the free balance. */
        RETURN,
        /** Writes the holder's counters without taking or returning tokens. */
        CHECKPOINT,
        /** Folds the holder's entry; the last update of an incarnation. */
        CLOSE
    }
}
