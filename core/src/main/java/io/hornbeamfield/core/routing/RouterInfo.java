package io.hornbeamfield.core.routing;

import io.hornbeamfield.core.config.ServerState;

/** A router as its peers and callers see it. The caller address has the form {@code ip:port}. */
public record RouterInfo(String instanceId, String incarnation, String zone, String callerAddress, ServerState state) {}
