/** Stand-ins for the platform and the backend servers. */
@NullMarked
package io.hornbeamfield.standins;

import org.jspecify.annotations.NullMarked;
