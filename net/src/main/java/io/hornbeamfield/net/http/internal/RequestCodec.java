package io.hornbeamfield.net.http.internal;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * Codec of requests that ignores offers of another protocol, as RFC 9110, section 7.8, allows. Grizzly would take what
 * follows such a head for the other protocol, so that the request is never answered.
 */
final class RequestCodec extends HttpServerFilter {
    private RequestCodec(NetworkListener listener) {
        super(
                listener.isChunkingEnabled(),
                DEFAULT_MAX_HTTP_PACKET_HEADER_SIZE,
                null,
                listener.getKeepAlive(),
                null,
                listener.getMaxRequestHeaders(),
                listener.getMaxResponseHeaders());
        setAllowPayloadForUndefinedHttpMethods(true);
    }

    /** Replaces the codec that Grizzly has put into the filters of a listener. */
    static void install(NetworkListener listener, FilterChainBuilder filters) {
        int index = filters.indexOfType(HttpServerFilter.class);
        HttpServerFilter replaced = (HttpServerFilter) filters.get(index);
        RequestCodec codec = new RequestCodec(listener);
        codec.setMaxPayloadRemainderToSkip(replaced.getMaxPayloadRemainderToSkip());
        filters.set(index, codec);
    }

    @Override
    protected boolean parseHeadersFromBytes(
            HttpHeader head, MimeHeaders headers, HeaderParsingState state, byte[] input, int end) {
        return ignoreOffer(head, super.parseHeadersFromBytes(head, headers, state, input, end));
    }

    @Override
    protected boolean parseHeadersFromBuffer(
            HttpHeader head, MimeHeaders headers, HeaderParsingState state, Buffer input) {
        return ignoreOffer(head, super.parseHeadersFromBuffer(head, headers, state, input));
    }

    private static boolean ignoreOffer(HttpHeader head, boolean complete) {
        if (complete) {
            head.getUpgradeDC().recycle();
        }
        return complete;
    }
}
