package io.hornbeamfield.net.relay.internal;

import io.hornbeamfield.core.attempt.ReadSize;
import io.hornbeamfield.net.http.internal.ResponseStatus;
import java.util.function.Supplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.jspecify.annotations.Nullable;

/** The input of one connection: the size of its reads, and the bytes that have not yet turned out to be content. */
final class ConnectionInput {
    /** Larger than any configured limit of a head; {@link InboundFilter} enforces the configured one. */
    static final int MAX_HEADER_BYTES = 128 * 1024;

    /** Limits chunk sizes and trailers, whose names Grizzly checks anew with each read. */
    private static final int MAX_BODY_FRAMING_BYTES = 2 * 1024;

    private static final Attribute<ConnectionInput> OF =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("hornbeamfield-connection-input", ConnectionInput::new);

    private final ReadSize readSize = new ReadSize();

    /** Head of the message whose body is being received. */
    private @Nullable HttpHeader head;

    /** The input that is kept, if there is more than that of one read. */
    private volatile @Nullable UnparsedInput unparsed;

    private int lastReadBytes;
    private int bytesWithoutContent;

    static ConnectionInput of(Connection<?> connection) {
        return OF.get(connection);
    }

    /** Returns the size of the next read, after the content of the last one has been handled. */
    int nextReadBytes() {
        readSize.readHandled(lastReadBytes);
        lastReadBytes = 0;
        return readSize.bytes();
    }

    /**
     * Records a read before it is parsed. Returns false if the earlier ones have brought no content for longer than a
     * head may be or, inside a body, than chunk sizes and trailers may be.
     */
    boolean readReceived(int bytes) {
        boolean valid = bytesWithoutContent <= (head == null ? MAX_HEADER_BYTES : MAX_BODY_FRAMING_BYTES);
        lastReadBytes = bytes;
        bytesWithoutContent += bytes;
        return valid;
    }

    /** Returns whether the codec keeps the input of earlier reads. */
    boolean isIncomplete() {
        return bytesWithoutContent > lastReadBytes;
    }

    /** Counts the last read as input that is kept. */
    void keep(Supplier<UnparsedInput> create) {
        UnparsedInput kept = unparsed;
        if (kept == null) {
            kept = create.get();
            unparsed = kept;
        }
        kept.add(lastReadBytes);
    }

    /** Forgets the input that is kept, because it has been handled or the connection has been closed. */
    void clearKept() {
        UnparsedInput kept = unparsed;
        if (kept != null) {
            kept.clear();
        }
    }

    /** Records that the last read is not parsed. */
    void discarded() {
        bytesWithoutContent = 0;
        clearKept();
    }

    /** Records what the codec made of the input: a head, a part of a body, or nothing yet. */
    void parsed(HttpContent content) {
        readSize.partHandled();
        HttpHeader contentHead = content.getHttpHeader();
        Buffer body = content.getContent();
        if (contentHead != head || content.isLast() || (body != null && body.hasRemaining())) {
            head = content.isLast() || isInterim(contentHead) ? null : contentHead;
            bytesWithoutContent = 0;
            clearKept();
        }
    }

    private static boolean isInterim(HttpHeader head) {
        return head instanceof HttpResponsePacket response && ResponseStatus.isInterim(response.getStatus());
    }
}
