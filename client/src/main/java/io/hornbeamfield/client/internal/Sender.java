package io.hornbeamfield.client.internal;

import java.time.Duration;
import java.util.function.Consumer;

/** Sends one request to a router, once for each try. Calls and reports are made on the executor of the request. */
interface Sender {
    /** Starts a try that ends within the time left, and reports its end once. */
    void send(Router router, String key, Duration left, Consumer<TryEnd> onEnd);
}
