/** Discrete-event simulation for the benchmarks. */
@NullMarked
package io.hornbeamfield.load.simulation;

import org.jspecify.annotations.NullMarked;
