/** Billing ledger and takeover of requests. */
@NullMarked
package io.hornbeamfield.core.ledger;

import org.jspecify.annotations.NullMarked;
