package io.hornbeamfield.net.peer;

/**
 * Receives the events of a {@link PeerTransport}. The methods are called on transport threads and must not block; the
 * events of one link are delivered in order.
 */
public interface PeerListener {
    /** Called when a link to another router is authenticated. */
    void onLinked(PeerLink link);

    /** Called for each message on an authenticated link, including heartbeats. */
    void onMessage(PeerLink link, PeerMessage message);

    /** Called when an authenticated link is closed by either side or after missed heartbeats. */
    void onClosed(PeerLink link);
}
