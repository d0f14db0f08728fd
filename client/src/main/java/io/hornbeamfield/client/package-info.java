/** Caller library. */
@NullMarked
package io.hornbeamfield.client;

import org.jspecify.annotations.NullMarked;
