package io.hornbeamfield.net.http;

/** Handles HTTP requests. The response is sent through the exchange, during the call or later from any thread. */
@FunctionalInterface
public interface HttpHandler {
    /** Handles a request whose whole body has arrived. */
    void handle(HttpExchange exchange);
}
