package io.hornbeamfield.core.budget;

/** What a router does next for one budget. */
public sealed interface AllotmentAction {
    /** Take tokens by {@link Allotment#planTake}. */
    record Take(long tokens) implements AllotmentAction {}

    /** Return tokens by {@link Allotment#planReturn}; 0 tokens write the counters only. */
    record Return(long tokens) implements AllotmentAction {}

    /** Do nothing. */
    record NoAction() implements AllotmentAction {}
}
