package io.hornbeamfield.net.relay.internal;

import io.hornbeamfield.net.relay.InboundHandler;
import io.hornbeamfield.net.relay.InboundLimits;
import io.hornbeamfield.net.relay.Serial;
import java.util.List;
import java.util.function.Supplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.jspecify.annotations.Nullable;

/** Collects requests and passes whole ones to the handler. */
final class InboundFilter extends BaseFilter {
    private static final int BAD_REQUEST = 400;
    private static final int BODY_TOO_LARGE = 413;
    private static final int HEADERS_TOO_LARGE = 431;
    private static final int VERSION_NOT_SUPPORTED = 505;

    private final Serial serial;
    private final InboundHandler handler;
    private final InboundConnections connections;
    private final Supplier<InboundLimits> limits;

    InboundFilter(
            Serial serial, InboundHandler handler, InboundConnections connections, Supplier<InboundLimits> limits) {
        this.serial = serial;
        this.handler = handler;
        this.connections = connections;
        this.limits = limits;
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        HttpContent content = ctx.getMessage();
        InboundState state = InboundConnections.of(ctx.getConnection());
        if (state != null) {
            serial.run(() -> read(ctx.getConnection(), state, content));
        }
        content.recycle();
        return ctx.getStopAction();
    }

    private void read(Connection<?> connection, InboundState state, HttpContent content) {
        if (state.isEnding()) {
            return;
        }
        HttpRequestPacket head = (HttpRequestPacket) content.getHttpHeader();
        GrizzlyInboundRequest request = state.current();
        if (request == null) {
            request = new GrizzlyInboundRequest(connection, head, state);
            state.begin(request);
            checkHead(request, head);
        } else if (!request.isOf(head)) {
            // The caller did not wait for its answer. What it sent is not read; it sees that with the close.
            request.closeAfterAnswer();
            return;
        }
        if (request.answered()) {
            return;
        }
        request.append(bytes(content.getContent()));
        if (request.bodyLength() > limits.get().maxBodyBytes()) {
            refuse(request, BODY_TOO_LARGE);
        } else if (content.isLast()) {
            request.completed();
            handler.handle(request);
        }
    }

    private void checkHead(GrizzlyInboundRequest request, HttpRequestPacket head) {
        if (request.headerBytes() > limits.get().maxHeaderBytes()) {
            refuse(request, HEADERS_TOO_LARGE);
        } else if (!request.isSupportedVersion()) {
            refuse(request, VERSION_NOT_SUPPORTED);
        } else if (!RequestCheck.isUnambiguous(request.headers())) {
            refuse(request, BAD_REQUEST);
        } else if (request.announcedLength() > limits.get().maxBodyBytes()) {
            refuse(request, BODY_TOO_LARGE);
        } else {
            if (RequestCodecFilter.hadLengthAndChunks(head)) {
                request.closeAfterAnswer();
            }
            request.acknowledgeIfExpected();
        }
    }

    /** The rest of the request is not read as another request, because the connection ends. */
    private static void refuse(GrizzlyInboundRequest request, int status) {
        request.closeAfterAnswer();
        request.reply(status, List.of(), new byte[0]);
    }

    private static byte[] bytes(@Nullable Buffer buffer) {
        if (buffer == null || !buffer.hasRemaining()) {
            return new byte[0];
        }
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return bytes;
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        InboundState state = InboundConnections.of(ctx.getConnection());
        if (state != null) {
            connections.remove(state);
            serial.run(() -> {
                GrizzlyInboundRequest request = state.current();
                if (request != null) {
                    request.connectionEnded();
                }
            });
        }
        return ctx.getInvokeAction();
    }
}
