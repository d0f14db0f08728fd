/** Routes, services and workspace keys of a configuration. */
@NullMarked
package io.hornbeamfield.core.route;

import org.jspecify.annotations.NullMarked;
