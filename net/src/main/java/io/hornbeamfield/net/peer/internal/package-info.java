/** Framing, handshake and link keeping over Grizzly. */
@NullMarked
package io.hornbeamfield.net.peer.internal;

import org.jspecify.annotations.NullMarked;
