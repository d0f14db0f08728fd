package io.hornbeamfield.net.http;

/** A response body that is sent in parts: in chunks or, to a caller of HTTP/1.0, until the connection closes. */
public interface ResponseStream {
    /** Sends a part. Returns false if the caller has disconnected or the stream has ended. */
    boolean write(byte[] part);

    /** Completes the response. */
    void end();

    /** Aborts the response by terminating the connection, so that the caller can tell that it is incomplete. */
    void abort();
}
