/** Address cache, request flow and stream check of the caller library. */
@NullMarked
package io.hornbeamfield.client.internal;

import org.jspecify.annotations.NullMarked;
