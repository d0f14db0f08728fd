/** Selection of the backend server that runs a request. */
@NullMarked
package io.hornbeamfield.core.placement;

import org.jspecify.annotations.NullMarked;
