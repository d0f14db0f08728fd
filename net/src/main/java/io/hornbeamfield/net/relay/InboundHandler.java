package io.hornbeamfield.net.relay;

/** Handles requests. The response may be sent synchronously or later. */
@FunctionalInterface
public interface InboundHandler {
    /** Handles a request whose whole body has arrived. */
    void handle(InboundRequest request);
}
