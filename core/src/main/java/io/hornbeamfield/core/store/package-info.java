/** Which answers of a store that may come back from an older copy can be compared with each other. */
@NullMarked
package io.hornbeamfield.core.store;

import org.jspecify.annotations.NullMarked;
