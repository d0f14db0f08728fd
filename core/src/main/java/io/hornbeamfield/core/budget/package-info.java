/** Token budgets: shared budget records, per-router allotments, refill policy and transfers between routers. */
@NullMarked
package io.hornbeamfield.core.budget;

import org.jspecify.annotations.NullMarked;
