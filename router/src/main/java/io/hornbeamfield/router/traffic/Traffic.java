package io.hornbeamfield.router.traffic;

import io.hornbeamfield.router.traffic.internal.TrafficServer;
import java.util.Map;

/**
 * Data plane of a router: accepts requests from callers over HTTP and dispatches them to backend servers.
 *
 * <pre>{@code
 * try (Traffic traffic = Traffic.start(dependencies)) {
 *     traffic.port();
 * }
 * }</pre>
 */
public interface Traffic extends AutoCloseable {
    /** Starts serving callers. */
    static Traffic start(TrafficDependencies dependencies) {
        return TrafficServer.start(dependencies);
    }

    /** Returns the port on which callers are served. */
    int port();

    /** Returns the number of in-flight requests, including those whose answer is still being written. */
    int inFlight();

    /** Returns the state of the data plane for the state dump. */
    Map<String, Object> state();

    @Override
    void close();
}
