package io.hornbeamfield.router;

import io.hornbeamfield.core.routing.BackendView;
import java.util.List;

/** Load of the backend servers of a pool, read by traffic and adjusted by the requests that it sends. Thread-safe. */
public interface BackendLoad {
    /** Returns the servers of a pool that may get new work, from configuration, instance list and load reports. */
    List<BackendView> candidates(String pool);

    /** Returns the incarnation of a server, as far as it reports one; a restarted server may keep its id. */
    default String incarnation(String serverId) {
        return serverId;
    }

    /** Records that a request was sent to a server. */
    void sent(String serverId);

    /** Records that a request ended at a server. */
    void finished(String serverId);

    /** Suspends a server for a short time because a connection to it failed. */
    void connectFailed(String serverId);
}
