package io.hornbeamfield.net.relay.internal;

import io.hornbeamfield.net.http.internal.ResponseStatus;
import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.OutboundListener;
import io.hornbeamfield.net.relay.Serial;
import java.util.List;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.jspecify.annotations.Nullable;

/** One request and its response on a connection to a server. */
final class OutboundExchange {
    static final Attribute<OutboundExchange> CURRENT =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("hornbeamfield-outbound");

    /** A server that sends more heads before that of its response sends no response. */
    private static final int MAX_INTERIM_HEADS = 16;

    private final Connection<?> connection;
    private final Serial serial;
    private final OutboundListener listener;
    private int interimHeads;
    private boolean headReceived;
    private boolean delimitedByClose;
    private boolean done;
    private volatile boolean requestWritten;

    OutboundExchange(Connection<?> connection, Serial serial, OutboundListener listener) {
        this.connection = connection;
        this.serial = serial;
        this.listener = listener;
    }

    void requestWritten() {
        requestWritten = true;
    }

    void read(HttpContent content) {
        serial.run(() -> handleContent(content));
    }

    private void handleContent(HttpContent content) {
        HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
        if (done) {
            return;
        }
        if (!ResponseStatus.isValid(head.getStatus())) {
            fail("the response has status " + head.getStatus());
            return;
        }
        if (ResponseStatus.isInterim(head.getStatus())) {
            if (++interimHeads > MAX_INTERIM_HEADS) {
                failExcessive("the server sent " + interimHeads + " interim heads");
            }
            return;
        }
        if (!headReceived) {
            List<Header> headers = HeaderCopy.of(head.getHeaders());
            if (!AnswerCheck.hasClearEnd(head, headers)) {
                fail("the head of the response does not say clearly where it ends");
                return;
            }
            headReceived = true;
            delimitedByClose = head.isExpectContent() && !head.isChunked() && head.getContentLength() < 0;
            listener.onHead(head.getStatus(), headers);
        }
        Buffer buffer = content.getContent();
        if (!done && buffer != null && buffer.hasRemaining()) {
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            listener.onData(bytes);
        }
        if (!done && content.isLast() && !mayBeTruncated()) {
            boolean close = "close".equalsIgnoreCase(String.valueOf(head.getHeader("Connection")));
            finish();
            // A server that answered before reading the whole request would parse the next one as the rest of this one.
            boolean reusable = requestWritten && !close && !delimitedByClose && connection.isOpen();
            if (!reusable) {
                connection.terminateSilently();
            }
            listener.onEnd(reusable);
        }
    }

    /**
     * A body delimited by connection close is complete only if the connection was closed in order, not if it was reset.
     */
    private boolean mayBeTruncated() {
        return delimitedByClose && connection.isOpen();
    }

    void closed(@Nullable ConnectionEnd end) {
        serial.run(() -> {
            if (done) {
                return;
            }
            finish();
            // After a reset the failed write may get the error, and the read that follows it an orderly end.
            if (headReceived && delimitedByClose && end == ConnectionEnd.ORDERLY && requestWritten) {
                listener.onEnd(false);
            } else {
                listener.onBroken(
                        end == ConnectionEnd.RESET
                                ? "the connection was reset"
                                : "the connection was closed before the response was complete");
            }
        });
    }

    void fail(String reason) {
        end(() -> listener.onBroken(reason));
    }

    /** Ends the exchange because the server sends more than a valid response can have. */
    void failExcessive(String reason) {
        end(() -> listener.onExcessiveInput(reason));
    }

    private void end(Runnable report) {
        serial.run(() -> {
            if (!done) {
                abandon();
                report.run();
            }
        });
    }

    boolean isDone() {
        return done;
    }

    /** Ends the exchange, and with a reset what of its request has not left yet or is on its way to the server. */
    void abandon() {
        finish();
        CloseMode.set(connection, CloseMode.RESET);
        connection.terminateSilently();
    }

    private void finish() {
        done = true;
        CURRENT.remove(connection);
    }
}
