package io.hornbeamfield.net.peer;

import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.quarantine.CrashEvidence;
import java.util.Map;

/**
 * Status of a router as reported in its heartbeats.
 *
 * @param crashes what each instance knows of crashes of backend servers, as far as the router has learnt of it
 */
public record PeerStatus(
        long configRevision, long configAgeMs, ServerState state, int inFlight, Map<String, CrashEvidence> crashes) {
    public PeerStatus {
        crashes = Map.copyOf(crashes);
    }

    /** Creates the status of a router that knows of no crashes. */
    public PeerStatus(long configRevision, long configAgeMs, ServerState state, int inFlight) {
        this(configRevision, configAgeMs, state, inFlight, Map.of());
    }
}
