package io.hornbeamfield.net.peer;

import io.hornbeamfield.core.config.ServerState;

/** The changing part of a heartbeat. */
public record PeerStatus(long configRevision, long configAgeMs, ServerState state, int inFlight) {}
