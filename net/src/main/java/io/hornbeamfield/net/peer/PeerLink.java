package io.hornbeamfield.net.peer;

/** An authenticated connection to another router. */
public interface PeerLink {
    /** Returns the other router's hello message, which states its identity. */
    PeerMessage.Hello peer();

    /**
     * Sends a message; returns false if the link is closed. A message is lost if the link closes before it is
     * delivered.
     */
    boolean send(PeerMessage message);

    /** Returns whether the link is open. */
    boolean isOpen();

    /** Closes the link. */
    void close();
}
