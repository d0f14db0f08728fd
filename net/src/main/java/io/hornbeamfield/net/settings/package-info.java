/** JSON settings files checked against a schema. */
@NullMarked
package io.hornbeamfield.net.settings;

import org.jspecify.annotations.NullMarked;
