package io.hornbeamfield.net.http.internal;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.ChunkedTransferEncoding;
import org.glassfish.grizzly.http.HttpBrokenContentException;
import org.glassfish.grizzly.http.HttpCodecFilter;
import org.glassfish.grizzly.http.HttpCodecFilter.ContentParsingState;
import org.glassfish.grizzly.http.HttpCodecFilter.HeaderParsingState;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpPacketParsing;
import org.glassfish.grizzly.http.ParsingResult;
import org.glassfish.grizzly.http.TransferEncoding;
import org.glassfish.grizzly.http.util.Header;

/**
 * Chunked coding that rejects a body whose chunks do not follow each other exactly. Grizzly takes a line without a size
 * for the last chunk and drops bytes between the end of a chunk and the end of its line, so that a broken body could
 * look whole (RFC 9112, section 7.1).
 *
 * <pre>{@code
 * ChunkFraming.install(codec, maxTrailerBytes);
 * }</pre>
 */
public final class ChunkFraming implements TransferEncoding {
    /** Grizzly's state between the data of a chunk and the end of its line. */
    private static final int AFTER_CHUNK = 3;

    private final TransferEncoding chunked;

    private ChunkFraming(TransferEncoding chunked) {
        this.chunked = chunked;
    }

    /** Replaces the chunked coding of a codec. */
    public static void install(HttpCodecFilter codec, int maxTrailerBytes) {
        for (TransferEncoding encoding : codec.getTransferEncodings()) {
            if (encoding instanceof ChunkedTransferEncoding) {
                codec.removeTransferEncoding(encoding);
            }
        }
        codec.addTransferEncoding(new ChunkFraming(new ChunkedTransferEncoding(maxTrailerBytes)));
    }

    /**
     * Lets the chunks of a body determine its end wherever its head says so. Grizzly may use a length in the head
     * instead if the head arrives in several parts.
     */
    static void recognize(HttpHeader head) {
        if ("chunked".equalsIgnoreCase(head.getHeader(Header.TransferEncoding))) {
            head.setChunked(true);
            head.setContentLengthLong(-1);
        }
    }

    @Override
    public boolean wantDecode(HttpHeader head) {
        return chunked.wantDecode(head);
    }

    @Override
    public boolean wantEncode(HttpHeader head) {
        return chunked.wantEncode(head);
    }

    @Override
    public void prepareSerialize(FilterChainContext ctx, HttpHeader head, HttpContent content) {
        chunked.prepareSerialize(ctx, head, content);
    }

    @Override
    public ParsingResult parsePacket(FilterChainContext ctx, HttpHeader head, Buffer input) {
        HttpPacketParsing parsing = (HttpPacketParsing) head;
        ContentParsingState content = parsing.getContentParsingState();
        if (!content.isLastChunk && content.chunkRemainder <= 0) {
            checkSizeLine(parsing.getHeaderParsingState(), input);
        }
        return chunked.parsePacket(ctx, head, input);
    }

    /** Checks as much as there is of the end of the last chunk and of the start of the line with the next size. */
    private static void checkSizeLine(HeaderParsingState state, Buffer input) {
        int at = state.state == 0 || state.state == AFTER_CHUNK ? input.position() : state.start;
        if (state.state == AFTER_CHUNK) {
            at = skip(input, at, "\r");
            if (at < input.limit() && input.get(at++) != '\n') {
                throw new HttpBrokenContentException("A chunk is longer than its size.");
            }
        }
        at = skip(input, at, " \t");
        if (at < input.limit() && Character.digit(input.get(at), 16) < 0) {
            throw new HttpBrokenContentException("A chunk has no size.");
        }
    }

    private static int skip(Buffer input, int from, String skipped) {
        int at = from;
        while (at < input.limit() && skipped.indexOf(input.get(at)) >= 0) {
            at++;
        }
        return at;
    }

    @Override
    public Buffer serializePacket(FilterChainContext ctx, HttpContent content) {
        return chunked.serializePacket(ctx, content);
    }
}
