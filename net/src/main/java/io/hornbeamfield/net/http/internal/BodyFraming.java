package io.hornbeamfield.net.http.internal;

import com.google.common.collect.ImmutableSet;
import org.glassfish.grizzly.http.HttpResponsePacket;

/** How the end of a response body is found. */
enum BodyFraming {
    /** The body has a length or consists of chunks. */
    EXPLICIT,
    /** The body ends with the connection. */
    CONNECTION,
    /** The fields of the head contradict each other or name an unknown encoding, so that any end may be too early. */
    UNCERTAIN;

    /** Grizzly uses the first of several lengths, and any encoding that begins with "chunked". */
    static BodyFraming of(HttpResponsePacket head) {
        ImmutableSet<String> encodings = ImmutableSet.copyOf(head.getHeaders().values("Transfer-Encoding"));
        ImmutableSet<String> lengths = ImmutableSet.copyOf(head.getHeaders().values("Content-Length"));
        if (!encodings.isEmpty()) {
            return encodings.size() == 1 && encodings.iterator().next().equalsIgnoreCase("chunked")
                    ? EXPLICIT
                    : UNCERTAIN;
        }
        if (lengths.size() > 1 || (lengths.size() == 1 && head.getContentLength() < 0)) {
            return UNCERTAIN;
        }
        return lengths.isEmpty() && head.isExpectContent() ? CONNECTION : EXPLICIT;
    }
}
