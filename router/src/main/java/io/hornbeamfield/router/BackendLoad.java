package io.hornbeamfield.router;

import io.hornbeamfield.core.routing.BackendView;
import java.util.List;

/** Loads of the backend servers of a pool, read and corrected by traffic. Callable from any thread. */
public interface BackendLoad {
    /** Returns the servers of a pool that may get new work, from configuration, instance list and load reports. */
    List<BackendView> candidates(String pool);

    /** Counts a request that was sent to a server. */
    void sent(String serverId);

    /** Counts a request that ended at a server. */
    void finished(String serverId);

    /** Suspends a server for a short time because a connection to it failed. */
    void connectFailed(String serverId);
}
