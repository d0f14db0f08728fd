/** The caller side of a router: HTTP in, dispatch to backend servers. */
@NullMarked
package io.hornbeamfield.router.traffic;

import org.jspecify.annotations.NullMarked;
