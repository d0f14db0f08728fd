/** Judges a run from what the far ends recorded: callers, engines, services and the platform. */
@NullMarked
package io.hornbeamfield.it.judge;

import org.jspecify.annotations.NullMarked;
