package io.hornbeamfield.client.internal;

import java.time.Duration;
import java.util.function.Consumer;

/** Sends one request to a router, once per attempt. Calls and callbacks run on the executor of the request. */
interface Sender {
    /** Starts an attempt that ends within the remaining time, and reports its result exactly once. */
    void send(Router router, String key, Duration remaining, Consumer<AttemptResult> onResult);

    /** Returns whether a part of the answer has arrived, so that the request has certainly run. */
    default boolean answerBegun() {
        return false;
    }
}
