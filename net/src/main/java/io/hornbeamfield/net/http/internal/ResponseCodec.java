package io.hornbeamfield.net.http.internal;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.ContentEncoding;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpCodecFilter;
import org.glassfish.grizzly.http.HttpHeader;

/**
 * Codec of responses that leaves their bodies as received. Grizzly would decompress a compressed one, which may become
 * a thousand times larger. An answer in chunks that are not well-formed is broken.
 */
public final class ResponseCodec extends HttpClientFilter {
    /** Creates a codec with Grizzly's limit of a head. */
    ResponseCodec() {
        this(HttpCodecFilter.DEFAULT_MAX_HTTP_PACKET_HEADER_SIZE);
    }

    /** Creates a codec with a limit of a head in bytes. */
    public ResponseCodec(int maxHeaderBytes) {
        super(maxHeaderBytes);
        for (ContentEncoding encoding : getContentEncodings()) {
            removeContentEncoding(encoding);
        }
        ChunkFraming.install(this, maxHeaderBytes);
    }

    @Override
    protected boolean onHttpHeaderParsed(HttpHeader head, Buffer buffer, FilterChainContext ctx) {
        ChunkFraming.recognize(head);
        return super.onHttpHeaderParsed(head, buffer, ctx);
    }
}
