package io.hornbeamfield.core.route;

import java.util.Optional;

/**
 * A service that routes send requests to.
 *
 * @param name name in the configuration
 * @param healthPath path of the health check
 * @param maxConnections number of connections that one backend server accepts from all instances together
 * @param engine properties of the backend servers if they are model engines
 */
public record ServiceSpec(String name, String healthPath, int maxConnections, Optional<EngineSpec> engine) {
    /** Returns the number of output tokens in one event of a stream. */
    public int tokensPerEvent() {
        return engine.map(EngineSpec::tokensPerEvent).orElse(1);
    }
}
