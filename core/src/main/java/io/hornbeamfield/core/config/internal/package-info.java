/** Validation of the sections of a configuration. */
@NullMarked
package io.hornbeamfield.core.config.internal;

import org.jspecify.annotations.NullMarked;
