package io.hornbeamfield.net.http;

/** A running streamed request. */
@FunctionalInterface
public interface OpenStream {
    /** Closes the connection; the listener gets no further calls. */
    void cancel();
}
