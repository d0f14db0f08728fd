package io.hornbeamfield.net.peer;

/**
 * Receives the events of a {@link PeerTransport}. The methods are called on transport threads and must not block; the
 * events of one link come in order.
 */
public interface PeerListener {
    /** A link to another router is authenticated. */
    void onLinked(PeerLink link);

    /** A message arrived, heartbeats included. */
    void onMessage(PeerLink link, PeerMessage message);

    /** A link is closed: by either side, or because it was silent. */
    void onClosed(PeerLink link);
}
