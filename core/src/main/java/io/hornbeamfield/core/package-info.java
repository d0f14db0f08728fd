/** Decision logic without I/O. */
@NullMarked
package io.hornbeamfield.core;

import org.jspecify.annotations.NullMarked;
