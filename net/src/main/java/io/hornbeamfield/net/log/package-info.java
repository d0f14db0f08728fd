/** Log output as JSON lines. */
@NullMarked
package io.hornbeamfield.net.log;

import org.jspecify.annotations.NullMarked;
