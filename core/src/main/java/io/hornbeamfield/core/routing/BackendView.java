package io.hornbeamfield.core.routing;

import io.hornbeamfield.core.config.ServerState;
import java.util.Set;

/**
 * What a router knows about a backend server: the last load report and the requests that this router has outstanding
 * there. {@code suspended} is true for a short time after failed connections.
 */
public record BackendView(
        String id,
        String address,
        String zone,
        ServerState state,
        boolean suspended,
        int reportedRunning,
        int reportedWaiting,
        int sentSinceReport,
        int finishedSinceReport,
        int outstanding,
        Set<String> models) {

    public BackendView {
        models = Set.copyOf(models);
    }
}
