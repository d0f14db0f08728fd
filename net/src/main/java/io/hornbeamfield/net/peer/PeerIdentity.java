package io.hornbeamfield.net.peer;

/** What a router tells its peers about itself. */
public record PeerIdentity(String incarnation, String instanceId, String zone, String callerAddress) {}
