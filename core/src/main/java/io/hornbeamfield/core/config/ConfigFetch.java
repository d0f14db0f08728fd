package io.hornbeamfield.core.config;

/** The source from which a router fetches a newer configuration. */
public sealed interface ConfigFetch {
    /** Returns the revision known to be available at the source. */
    long revision();

    /** Fetches the head and its shards from the platform. */
    record FromPlatform(long revision) implements ConfigFetch {}

    /** Requests the configuration from a peer. */
    record FromPeer(String peer, long revision) implements ConfigFetch {}
}
