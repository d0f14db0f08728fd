package io.hornbeamfield.core.budget;

/**
 * A new budget record to write on the condition that the record it was made from is still the current one. The tokens
 * are those taken or returned by this update.
 */
public record BudgetUpdate(Kind kind, long tokens, BudgetRecord record) {
    /** What an update does. */
    public enum Kind {
        /** Takes tokens from the free balance. */
        TAKE,
        /** Returns tokens to the free balance. */
        RETURN,
        /** Writes the own counters without taking or returning anything. */
        CHECKPOINT,
        /** Folds the own entry; the last update of an incarnation. */
        CLOSE
    }
}
