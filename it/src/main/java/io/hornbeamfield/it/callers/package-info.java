/** Callers of a fleet: traffic through the caller library, with every outcome checked and kept. */
@NullMarked
package io.hornbeamfield.it.callers;

import org.jspecify.annotations.NullMarked;
