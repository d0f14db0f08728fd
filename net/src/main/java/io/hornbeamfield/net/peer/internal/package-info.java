/** Framing, handshake and link maintenance over Grizzly. */
@NullMarked
package io.hornbeamfield.net.peer.internal;

import org.jspecify.annotations.NullMarked;
