/** The router daemon. */
@NullMarked
package io.hornbeamfield.router;

import org.jspecify.annotations.NullMarked;
