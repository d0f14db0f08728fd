package io.hornbeamfield.net.peer;

/** Identity that a router announces to its peers in the handshake. */
public record PeerIdentity(String incarnation, String instanceId, String zone, String callerAddress) {}
