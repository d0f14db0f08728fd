package io.hornbeamfield.net.http.internal;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.ContentEncoding;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpCodecFilter;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * Codec of responses that leaves their bodies as received. Grizzly would decompress a compressed one, which may become
 * a thousand times larger. An answer in chunks that are not well-formed is broken, as is one with too many header
 * lines: a parsed line occupies several hundred bytes, however short it is.
 */
public final class ResponseCodec extends HttpClientFilter {
    /** Grizzly's limit for requests; it sets none for responses. */
    private static final int MAX_HEADER_LINES = MimeHeaders.MAX_NUM_HEADERS_DEFAULT;

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
    protected boolean parseHeadersFromBytes(
            HttpHeader head, MimeHeaders headers, HeaderParsingState state, byte[] input, int end) {
        headers.setMaxNumHeaders(MAX_HEADER_LINES);
        return super.parseHeadersFromBytes(head, headers, state, input, end);
    }

    @Override
    protected boolean parseHeadersFromBuffer(
            HttpHeader head, MimeHeaders headers, HeaderParsingState state, Buffer input) {
        headers.setMaxNumHeaders(MAX_HEADER_LINES);
        return super.parseHeadersFromBuffer(head, headers, state, input);
    }

    @Override
    protected boolean onHttpHeaderParsed(HttpHeader head, Buffer buffer, FilterChainContext ctx) {
        ChunkFraming.recognize(head);
        return super.onHttpHeaderParsed(head, buffer, ctx);
    }
}
