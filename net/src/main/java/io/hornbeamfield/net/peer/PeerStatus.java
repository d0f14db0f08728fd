package io.hornbeamfield.net.peer;

import io.hornbeamfield.core.config.ServerState;

/** Status of a router as reported in its heartbeats. */
public record PeerStatus(long configRevision, long configAgeMs, ServerState state, int inFlight) {}
