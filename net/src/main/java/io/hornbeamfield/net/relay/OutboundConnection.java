package io.hornbeamfield.net.relay;

/** A client connection to a server. It carries one request at a time. */
public interface OutboundConnection {
    /** Sends a request and reports its response to the listener. */
    void send(OutboundRequest request, OutboundListener listener);

    /** Returns whether the connection is open. */
    boolean isOpen();

    /** Closes the connection; the listener of a request in flight receives no further calls. */
    void close();
}
