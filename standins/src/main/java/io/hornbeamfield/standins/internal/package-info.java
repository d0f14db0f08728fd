/** Helpers shared by the stand-ins. */
@NullMarked
package io.hornbeamfield.standins.internal;

import org.jspecify.annotations.NullMarked;
