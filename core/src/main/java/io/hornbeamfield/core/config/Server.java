package io.hornbeamfield.core.config;

/** A backend server of a pool. The address has the form {@code ip:port}. */
public record Server(String address, String zone, ServerState state) {}
