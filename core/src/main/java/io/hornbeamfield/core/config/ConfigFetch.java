package io.hornbeamfield.core.config;

/** Where a router reads a newer configuration from. */
public sealed interface ConfigFetch {
    /** Returns the revision that is known to exist there. */
    long revision();

    /** Read the head and its shards from the platform. */
    record FromPlatform(long revision) implements ConfigFetch {}

    /** Ask a peer for its configuration. */
    record FromPeer(String peer, long revision) implements ConfigFetch {}
}
