/** Retry decisions after an attempt at a backend server has ended. */
@NullMarked
package io.hornbeamfield.core.attempt;

import org.jspecify.annotations.NullMarked;
