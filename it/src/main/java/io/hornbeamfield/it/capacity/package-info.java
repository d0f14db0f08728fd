/** Measures the cost of whole router processes. */
@NullMarked
package io.hornbeamfield.it.capacity;

import org.jspecify.annotations.NullMarked;
