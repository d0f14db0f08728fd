/** Starts whole fleets of real processes on loopback addresses and injects faults into them. */
@NullMarked
package io.hornbeamfield.it.fleet;

import org.jspecify.annotations.NullMarked;
