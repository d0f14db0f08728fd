package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.net.peer.PeerLink;
import io.hornbeamfield.net.peer.PeerMessage;

/** A controller that takes part in the peer protocol. Called on the control thread. */
interface PeerHandler {
    /** A link was opened. */
    default void linked(PeerLink link) {}

    /** A message arrived. */
    default void received(PeerLink link, PeerMessage message) {}

    /** The link to an incarnation was closed and no other one took its place. */
    default void unlinked(PeerLink link) {}
}
