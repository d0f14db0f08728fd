/** Data structures of the admission queue. */
@NullMarked
package io.hornbeamfield.core.admission.internal;

import org.jspecify.annotations.NullMarked;
