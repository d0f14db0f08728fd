/** Logging configuration: JSON lines on standard error. */
@NullMarked
package io.hornbeamfield.net.log;

import org.jspecify.annotations.NullMarked;
