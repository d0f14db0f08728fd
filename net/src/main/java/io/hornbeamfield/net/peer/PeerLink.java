package io.hornbeamfield.net.peer;

/** An authenticated connection to another router. */
public interface PeerLink {
    /** Returns what the other router said about itself. */
    PeerMessage.Hello peer();

    /** Sends a message; returns false when the link is closed. A message on an open link may still be lost with it. */
    boolean send(PeerMessage message);

    /** Returns whether the link is open. */
    boolean isOpen();

    /** Closes the link. */
    void close();
}
