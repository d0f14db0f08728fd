package io.hornbeamfield.core.budget;

/** The next action of a router on its allotment of one budget. */
public sealed interface AllotmentAction {
    /** Takes tokens with {@link Allotment#planTake}. */
    record Take(long tokens) implements AllotmentAction {}

    /** Returns tokens with {@link Allotment#planReturn}; with 0 tokens, only writes the counters. */
    record Return(long tokens) implements AllotmentAction {}

    /** Leaves the allotment unchanged. */
    record NoAction() implements AllotmentAction {}
}
