/** Clocks for production and tests. */
@NullMarked
package io.hornbeamfield.core.time;

import org.jspecify.annotations.NullMarked;
