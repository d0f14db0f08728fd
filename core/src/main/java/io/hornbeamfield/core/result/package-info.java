/** Result codes, refusals and results. */
@NullMarked
package io.hornbeamfield.core.result;

import org.jspecify.annotations.NullMarked;
