package io.hornbeamfield.net.relay.internal;

import io.hornbeamfield.net.http.internal.ChunkFraming;
import java.io.IOException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * Marks requests that have both a Content-Length and a chunked body: Grizzly removes the Content-Length of such a
 * request while it parses the headers, so that a later filter cannot see it. Ignores offers of another protocol, as RFC
 * 9110, section 7.8, allows.
 */
final class RequestCodecFilter extends HttpServerFilter {
    private static final Attribute<Boolean> HAD_LENGTH_AND_CHUNKS =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("hornbeamfield.lengthAndChunks");

    RequestCodecFilter(int maxHeaderBytes, KeepAlive keepAlive) {
        super(true, maxHeaderBytes, keepAlive, null);
        setAllowPayloadForUndefinedHttpMethods(true);
        ChunkFraming.install(this, maxHeaderBytes);
    }

    /**
     * Returns whether the body had two framings, after which RFC 9112, section 6.1, requires closing the connection.
     */
    static boolean hadLengthAndChunks(HttpHeader head) {
        return Boolean.TRUE.equals(HAD_LENGTH_AND_CHUNKS.get(head));
    }

    /** A head that cannot be parsed names no request, so that its connection ends after the earlier answers. */
    @Override
    protected void onHttpHeaderError(HttpHeader head, FilterChainContext ctx, Throwable error) throws IOException {
        InboundState state = InboundConnections.stateOf(ctx.getConnection());
        if (state == null || !state.closeAfterPending()) {
            super.onHttpHeaderError(head, ctx, error);
        }
    }

    /** Leaves the refusal to {@link InboundFilter}, since earlier requests may not have been answered yet. */
    @Override
    protected void onHttpContentError(HttpHeader head, FilterChainContext ctx, Throwable error) {
        head.setContentBroken(true);
    }

    @Override
    protected boolean parseHeadersFromBytes(
            HttpHeader head, MimeHeaders headers, HeaderParsingState state, byte[] input, int end) {
        boolean complete = super.parseHeadersFromBytes(head, headers, state, input, end);
        adjust(head, state, complete);
        return complete;
    }

    @Override
    protected boolean parseHeadersFromBuffer(
            HttpHeader head, MimeHeaders headers, HeaderParsingState state, Buffer input) {
        boolean complete = super.parseHeadersFromBuffer(head, headers, state, input);
        adjust(head, state, complete);
        return complete;
    }

    private static void adjust(HttpHeader head, HeaderParsingState state, boolean complete) {
        markIfLengthAndChunks(head, state);
        if (complete) {
            // Otherwise Grizzly would not decode the body of a request that offers another protocol.
            head.getUpgradeDC().recycle();
        }
    }

    private static void markIfLengthAndChunks(HttpHeader head, HeaderParsingState state) {
        if (head.isChunked() && state.contentLengthHeadersCount > 0) {
            HAD_LENGTH_AND_CHUNKS.set(head, true);
        }
    }
}
