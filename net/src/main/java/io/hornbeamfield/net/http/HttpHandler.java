package io.hornbeamfield.net.http;

/** Answers one HTTP request, now or later, through its exchange. */
@FunctionalInterface
public interface HttpHandler {
    /** Handles a request whose whole body has arrived. */
    void handle(HttpExchange exchange);
}
