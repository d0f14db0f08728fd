/** Data plane of a router: serves callers over HTTP and dispatches requests to backend servers. */
@NullMarked
package io.hornbeamfield.router.traffic;

import org.jspecify.annotations.NullMarked;
