package io.hornbeamfield.core.budget;

/** Decides how many tokens a router should have available. */
@FunctionalInterface
public interface SliceSizer {
    /** Returns the number of available tokens to aim for, never less than 0. */
    long target(SizingInput demand);
}
