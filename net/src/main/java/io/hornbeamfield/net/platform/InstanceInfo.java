package io.hornbeamfield.net.platform;

import io.hornbeamfield.core.config.ServerState;

/** An entry in the platform's instance list. The kind is {@code router}, {@code engine} or {@code service}. */
public record InstanceInfo(String id, String kind, String address, String zone, ServerState state) {}
