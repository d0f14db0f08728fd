/** Grizzly filters of the relay. */
@NullMarked
package io.hornbeamfield.net.relay.internal;

import org.jspecify.annotations.NullMarked;
