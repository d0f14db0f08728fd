package io.hornbeamfield.net.http;

/** Handle of a streamed request that is in progress. */
@FunctionalInterface
public interface OpenStream {
    /** Cancels the request by closing its connection. The listener receives no further calls. */
    void cancel();
}
