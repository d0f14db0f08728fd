package io.hornbeamfield.core.routing;

import io.hornbeamfield.core.config.ServerState;

/** A router as known to its peers and callers. The caller address has the form {@code ip:port}. */
public record RouterInfo(String instanceId, String incarnation, String zone, String callerAddress, ServerState state) {}
