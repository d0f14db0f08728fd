/** JSON mapping. */
@NullMarked
package io.hornbeamfield.net.json;

import org.jspecify.annotations.NullMarked;
