/** Authenticated links between routers. */
@NullMarked
package io.hornbeamfield.net.peer;

import org.jspecify.annotations.NullMarked;
