package io.hornbeamfield.entry.traffic;

/** Receives what the timing of one attempt shows about its server. */
interface StreamObserver {
    /** Observer that ignores everything. */
    StreamObserver NONE = new StreamObserver() {};

    /** The request was written to the server. */
    default void sent(long nowMs) {}

    /** A new event of the stream arrived. */
    default void event(long nowMs) {}

    /** The server refused the request because it is full. */
    default void refused() {}
}
