/**
 * Accounting of prepaid token totals. The totals are enforced across restarts and on instances that are partitioned
 * from the platform.
 */
@NullMarked
package io.hornbeamfield.core.prepaid;

import org.jspecify.annotations.NullMarked;
