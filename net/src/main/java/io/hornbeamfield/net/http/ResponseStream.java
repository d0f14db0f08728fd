package io.hornbeamfield.net.http;

/** A response that is sent in parts. */
public interface ResponseStream {
    /** Sends a part. Returns false when the caller is gone. */
    boolean write(byte[] part);

    /** Completes the response. */
    void end();

    /** Breaks the connection, so that the caller sees an incomplete response. */
    void abort();
}
