/** Configuration types, and the validation and adoption of configurations. */
@NullMarked
package io.hornbeamfield.core.config;

import org.jspecify.annotations.NullMarked;
