/** Billing ledgers, and the takeover of billing between incarnations. */
@NullMarked
package io.hornbeamfield.core.ledger;

import org.jspecify.annotations.NullMarked;
