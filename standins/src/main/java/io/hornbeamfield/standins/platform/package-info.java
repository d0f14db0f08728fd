/** Simulated object API with instance list, watches and faults. */
@NullMarked
package io.hornbeamfield.standins.platform;

import org.jspecify.annotations.NullMarked;
