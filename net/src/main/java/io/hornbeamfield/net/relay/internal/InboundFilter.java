package io.hornbeamfield.net.relay.internal;

import io.hornbeamfield.core.attempt.BufferPool;
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

/** Assembles requests, enforces the limits and passes complete requests to the handler. */
final class InboundFilter extends BaseFilter {
    private static final int BAD_REQUEST = 400;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int HEADERS_TOO_LARGE = 431;
    private static final int VERSION_NOT_SUPPORTED = 505;

    private final Serial serial;
    private final InboundHandler handler;
    private final InboundConnections connections;
    private final Supplier<InboundLimits> limits;
    /** Guarded by the serial, like the requests. */
    private final BufferPool input;

    InboundFilter(
            Serial serial,
            InboundHandler handler,
            InboundConnections connections,
            Supplier<InboundLimits> limits,
            BufferPool input) {
        this.input = input;
        this.serial = serial;
        this.handler = handler;
        this.connections = connections;
        this.limits = limits;
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        HttpContent content = ctx.getMessage();
        ConnectionInput.of(ctx.getConnection()).parsed(content);
        InboundState state = InboundConnections.stateOf(ctx.getConnection());
        if (state != null) {
            serial.run(() -> read(ctx.getConnection(), state, content));
        }
        content.recycle();
        return ctx.getStopAction();
    }

    private void read(Connection<?> connection, InboundState state, HttpContent content) {
        if (state.isReadingStopped()) {
            return;
        }
        HttpRequestPacket head = (HttpRequestPacket) content.getHttpHeader();
        GrizzlyInboundRequest request = state.current();
        if (request == null) {
            request = new GrizzlyInboundRequest(connection, head, state, input);
            state.requestStarted(request);
            checkHead(request, head);
        } else if (!request.isReceiving(head)) {
            // Pipelined request: it is not read, and the caller learns so when the connection closes.
            request.closeAfterAnswer();
            return;
        }
        if (request.responseStarted()) {
            return;
        }
        request.append(bytes(content.getContent()));
        if (request.responseStarted()) {
            return;
        }
        if (request.bodyLength() > limits.get().maxBodyBytes()) {
            reject(request, CONTENT_TOO_LARGE);
        } else if (content.isLast()) {
            request.markComplete();
            handler.handle(request);
        }
    }

    private void checkHead(GrizzlyInboundRequest request, HttpRequestPacket head) {
        if (request.headerBytes() > limits.get().maxHeaderBytes()) {
            reject(request, HEADERS_TOO_LARGE);
        } else if (!request.isSupportedVersion()) {
            reject(request, VERSION_NOT_SUPPORTED);
        } else if (!RequestCheck.isUnambiguous(request.headers())) {
            reject(request, BAD_REQUEST);
        } else if (request.declaredContentLength() > limits.get().maxBodyBytes()) {
            reject(request, CONTENT_TOO_LARGE);
        } else {
            if (RequestCodecFilter.hadLengthAndChunks(head)) {
                request.closeAfterAnswer();
            }
            request.sendContinueIfExpected();
        }
    }

    /**
     * Answers with an error and closes the connection, so that the rest of the request is not parsed as another one.
     */
    private static void reject(GrizzlyInboundRequest request, int status) {
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
        InboundState state = InboundConnections.stateOf(ctx.getConnection());
        if (state != null) {
            connections.remove(state);
            serial.run(() -> {
                GrizzlyInboundRequest request = state.current();
                if (request != null) {
                    request.connectionClosed();
                }
            });
        }
        return ctx.getInvokeAction();
    }
}
