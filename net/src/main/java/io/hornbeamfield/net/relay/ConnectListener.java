package io.hornbeamfield.net.relay;

/** Receives the outcome of a connection attempt through exactly one of its methods. */
public interface ConnectListener {
    /** Called when the connection is established. */
    void onConnected(OutboundConnection connection);

    /** Called when the connection could not be established. */
    void onFailed(String reason);
}
