package io.hornbeamfield.core.route;

import java.util.Optional;

/**
 * A service that routes send requests to.
 *
 * @param name name in the configuration
 * @param healthPath path of the health check
 * @param maxConnections number of connections that one backend server accepts from all instances together
 * @param engine properties of the backend servers if they are model engines
 * @param coldPhase phase after the start of a backend server in which it tolerates few requests
 */
public record ServiceSpec(
        String name,
        String healthPath,
        int maxConnections,
        Optional<EngineSpec> engine,
        Optional<ColdPhase> coldPhase) {

    /** Creates a service whose servers have no cold phase. */
    public ServiceSpec(String name, String healthPath, int maxConnections, Optional<EngineSpec> engine) {
        this(name, healthPath, maxConnections, engine, Optional.empty());
    }

    /** Returns the number of output tokens in one event of a stream. */
    public int tokensPerEvent() {
        return engine.map(EngineSpec::tokensPerEvent).orElse(1);
    }
}
