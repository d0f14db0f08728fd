package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.net.peer.PeerLink;
import io.hornbeamfield.net.peer.PeerMessage;

/** Receives the events of peer links. Methods are called on the control thread. */
interface PeerHandler {
    /** Called when a link was opened. */
    default void linked(PeerLink link) {}

    /** Called when a message arrived. */
    default void received(PeerLink link, PeerMessage message) {}

    /** Called when the link to an incarnation was closed without having been replaced by another one. */
    default void unlinked(PeerLink link) {}
}
