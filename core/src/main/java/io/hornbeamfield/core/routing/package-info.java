/** Selection of routers and backend servers. */
@NullMarked
package io.hornbeamfield.core.routing;

import org.jspecify.annotations.NullMarked;
