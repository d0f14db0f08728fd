/** Simulation-based search for schedules of steps and failures that violate an invariant of the decision logic. */
@NullMarked
package io.hornbeamfield.core.search;

import org.jspecify.annotations.NullMarked;
