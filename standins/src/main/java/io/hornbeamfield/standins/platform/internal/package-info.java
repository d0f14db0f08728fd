/** Implementation of the simulated object API. */
@NullMarked
package io.hornbeamfield.standins.platform.internal;

import org.jspecify.annotations.NullMarked;
