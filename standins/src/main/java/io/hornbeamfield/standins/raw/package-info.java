/** Server whose responses are chosen byte by byte. */
@NullMarked
package io.hornbeamfield.standins.raw;

import org.jspecify.annotations.NullMarked;
