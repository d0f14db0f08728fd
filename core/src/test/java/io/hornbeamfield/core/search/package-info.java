/** A search of the decision logic over schedules of steps and failures. */
@NullMarked
package io.hornbeamfield.core.search;

import org.jspecify.annotations.NullMarked;
