/** Budgets, holder entries and allotments. */
@NullMarked
package io.hornbeamfield.core.budget;

import org.jspecify.annotations.NullMarked;
