package io.hornbeamfield.router.traffic;

import io.hornbeamfield.router.traffic.internal.TrafficServer;
import java.util.Map;

/**
 * The caller side of a router: serves callers over HTTP and sends their requests to backend servers.
 *
 * <pre>{@code
 * try (Traffic traffic = Traffic.start(parts)) {
 *     traffic.port();
 * }
 * }</pre>
 */
public interface Traffic extends AutoCloseable {
    /** Starts to serve callers. */
    static Traffic start(TrafficParts parts) {
        return TrafficServer.start(parts);
    }

    /** Returns the port on which callers are served. */
    int port();

    /** Returns the number of requests in progress, answers that are still being written included. */
    int open();

    /** Returns the state of traffic for the state dump. */
    Map<String, Object> state();

    @Override
    void close();
}
