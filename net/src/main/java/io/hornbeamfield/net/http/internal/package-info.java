/** Grizzly adapters. */
@NullMarked
package io.hornbeamfield.net.http.internal;

import org.jspecify.annotations.NullMarked;
