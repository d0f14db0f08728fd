/** Loading of JSON settings files with schema validation. */
@NullMarked
package io.hornbeamfield.net.settings;

import org.jspecify.annotations.NullMarked;
