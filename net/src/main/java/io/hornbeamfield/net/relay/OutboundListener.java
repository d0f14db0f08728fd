package io.hornbeamfield.net.relay;

import java.util.List;

/**
 * Receives a response as it arrives. The last call is exactly one of {@link #onEnd}, {@link #onBroken} and
 * {@link #onExcessiveInput}.
 */
public interface OutboundListener {
    /** Called once with the status and the headers of the final response. */
    void onHead(int status, List<Header> headers);

    /** Called for each part of the body, in order. */
    void onData(byte[] part);

    /**
     * Called when the response is complete.
     *
     * @param reusable whether the connection can carry another request
     */
    void onEnd(boolean reusable);

    /** Called when the exchange fails before the response is complete. */
    void onBroken(String reason);

    /** Called in place of {@link #onBroken} when the server sends more than a valid response can have. */
    default void onExcessiveInput(String reason) {
        onBroken(reason);
    }
}
