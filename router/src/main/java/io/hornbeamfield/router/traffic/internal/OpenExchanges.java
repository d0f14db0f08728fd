package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.net.http.HttpExchange;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the open exchanges with callers, including relayed and partly written ones. A graceful stop waits until there
 * are none.
 */
final class OpenExchanges {
    private final AtomicInteger count = new AtomicInteger();

    HttpExchange track(HttpExchange exchange) {
        count.incrementAndGet();
        return new TrackedExchange(exchange, count::decrementAndGet);
    }

    int count() {
        return count.get();
    }
}
