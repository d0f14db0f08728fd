package io.hornbeamfield.entry.traffic;

import java.util.Collection;

/** Receives the requests whose answers had not begun when their server crashed. */
@FunctionalInterface
public interface CrashListener {
    /**
     * Called for each such request.
     *
     * @param service service of the server
     * @param server incarnation of the server
     * @param request id of the request
     * @param parts parts of the prompt that other requests may share
     */
    void serverCrashed(String service, String server, String request, Collection<String> parts);
}
