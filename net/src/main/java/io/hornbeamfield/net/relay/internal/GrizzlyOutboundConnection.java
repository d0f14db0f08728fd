package io.hornbeamfield.net.relay.internal;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import io.hornbeamfield.net.relay.OutboundConnection;
import io.hornbeamfield.net.relay.OutboundListener;
import io.hornbeamfield.net.relay.OutboundRequest;
import io.hornbeamfield.net.relay.Serial;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.memory.Buffers;
import org.jspecify.annotations.Nullable;

/** Client connection to a server over Grizzly. */
final class GrizzlyOutboundConnection implements OutboundConnection {
    private final Connection<?> connection;
    private final Serial serial;
    private @Nullable OutboundExchange exchange;

    GrizzlyOutboundConnection(Connection<?> connection, Serial serial) {
        this.connection = connection;
        this.serial = serial;
    }

    @Override
    public void send(OutboundRequest request, OutboundListener listener) {
        OutboundExchange next = new OutboundExchange(connection, serial, listener);
        exchange = next;
        OutboundExchange.CURRENT.set(connection, next);
        Writes.write(
                connection,
                packet(request),
                next::requestWritten,
                cause -> next.fail("Writing the request failed: " + cause));
    }

    private static HttpContent packet(OutboundRequest request) {
        HttpRequestPacket head = HttpRequestPacket.builder()
                .method(request.method())
                .uri(request.target())
                .protocol("HTTP/1.1")
                .build();
        if (!HeaderCopy.isAscii(request.target())) {
            setTarget(head, request.target());
        }
        request.headers().forEach(h -> HeaderCopy.add(h, head));
        if (request.body().length > 0 || !request.method().equals("GET")) {
            head.setContentLengthLong(request.body().length);
        }
        return HttpContent.builder(head)
                .content(Buffers.wrap(null, request.body()))
                .last(true)
                .build();
    }

    /** Sets the target byte by byte; Grizzly would replace the characters that are not ASCII by spaces. */
    private static void setTarget(HttpRequestPacket head, String target) {
        int end = target.indexOf('?');
        byte[] path = (end < 0 ? target : target.substring(0, end)).getBytes(ISO_8859_1);
        head.getRequestURIRef().init(path, 0, path.length);
        if (end >= 0) {
            head.getQueryStringDC().setBytes(target.substring(end + 1).getBytes(ISO_8859_1));
        }
    }

    @Override
    public boolean isOpen() {
        return connection.isOpen();
    }

    @Override
    public void close() {
        OutboundExchange current = exchange;
        if (current == null || current.isDone()) {
            connection.terminateSilently();
        } else {
            current.abandon();
        }
    }
}
