/** Admission queue, deadlines and retry budgets. */
@NullMarked
package io.hornbeamfield.core.admission;

import org.jspecify.annotations.NullMarked;
