/** Configuration types, validation and adoption. */
@NullMarked
package io.hornbeamfield.core.config;

import org.jspecify.annotations.NullMarked;
