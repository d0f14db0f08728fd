package io.hornbeamfield.core.routing;

import io.hornbeamfield.core.config.ServerState;
import java.util.Set;

/**
 * A router's view of a backend server: the last load report and the requests that this router has outstanding there.
 * {@code suspended} is true for a short time after connections to the server have failed.
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
