/** JSON serialisation and parsing. */
@NullMarked
package io.hornbeamfield.net.json;

import org.jspecify.annotations.NullMarked;
