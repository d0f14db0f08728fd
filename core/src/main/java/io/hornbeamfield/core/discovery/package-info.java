/** Discovery of backend servers and health checks between instances. */
@NullMarked
package io.hornbeamfield.core.discovery;

import org.jspecify.annotations.NullMarked;
