/** The entry daemon: relays requests of callers to backend servers and enforces prepaid totals. */
@NullMarked
package io.hornbeamfield.entry;

import org.jspecify.annotations.NullMarked;
