/** Demo runner and integration tests. */
@NullMarked
package io.hornbeamfield.it;

import org.jspecify.annotations.NullMarked;
