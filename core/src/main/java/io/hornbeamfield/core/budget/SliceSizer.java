package io.hornbeamfield.core.budget;

/** Determines the target size of a slice, that is, of the tokens that one router keeps available for a budget. */
@FunctionalInterface
public interface SliceSizer {
    /** Returns the target number of available tokens, at least 0. */
    long target(SizingInput input);
}
