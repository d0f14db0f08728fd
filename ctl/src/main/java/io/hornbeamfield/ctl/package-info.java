/** The operators' command line. */
@NullMarked
package io.hornbeamfield.ctl;

import org.jspecify.annotations.NullMarked;
