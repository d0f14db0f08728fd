package io.hornbeamfield.net.relay.internal;

import io.hornbeamfield.core.attempt.BufferPool;
import io.hornbeamfield.net.relay.InboundHandler;
import io.hornbeamfield.net.relay.InboundLimits;
import io.hornbeamfield.net.relay.Serial;
import java.util.function.Supplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/** Assembles requests, enforces the limits and passes complete requests to the handler. */
final class InboundFilter extends BaseFilter {
    private static final Logger LOG = Logger.getLogger(InboundFilter.class);
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
        if (HttpContent.isBroken(content)) {
            ConnectionInput.of(ctx.getConnection()).discarded();
        } else {
            ConnectionInput.of(ctx.getConnection()).parsed(content);
        }
        InboundState state = InboundConnections.stateOf(ctx.getConnection());
        if (state != null) {
            serial.run(() -> read(ctx.getConnection(), state, content));
        }
        content.recycle();
        return ctx.getStopAction();
    }

    private void read(Connection<?> connection, InboundState state, HttpContent content) {
        state.inputParsed();
        if (state.isReadingStopped()) {
            return;
        }
        HttpRequestPacket head = (HttpRequestPacket) content.getHttpHeader();
        GrizzlyInboundRequest request = state.last();
        if (request == null || !request.isReceiving(head)) {
            request = new GrizzlyInboundRequest(connection, head, state, input, this::proceed);
            if (!state.add(request)) {
                return;
            }
            checkHead(request, head);
            request.keepHead();
        }
        if (HttpContent.isBroken(content)) {
            request.refuse(BAD_REQUEST);
        }
        if (!request.isRefused()) {
            request.append(bytes(content.getContent()));
            if (request.bodyLength() > limits.get().maxBodyBytes()) {
                request.refuse(CONTENT_TOO_LARGE);
            } else if (content.isLast() && !request.isRefused()) {
                request.markComplete();
            }
        }
        if (request == state.current()) {
            proceed(request);
        }
    }

    /** Goes on with the request whose answer is due. */
    private void proceed(GrizzlyInboundRequest request) {
        if (request.isRefused()) {
            request.replyRefusal();
        } else {
            request.sendContinueIfExpected();
            if (request.isComplete()) {
                // The end of the connection may have arrived behind the request.
                request.afterPendingInput(() -> handle(request));
            }
        }
    }

    private void handle(GrizzlyInboundRequest request) {
        try {
            handler.handle(request);
        } catch (RuntimeException | Error e) {
            LOG.errorf(e, "Handling a request failed; its connection is closed.");
            request.cut();
        }
    }

    private void checkHead(GrizzlyInboundRequest request, HttpRequestPacket head) {
        if (request.headerBytes() > limits.get().maxHeaderBytes()) {
            request.refuse(HEADERS_TOO_LARGE);
        } else if (!request.isSupportedVersion()) {
            request.refuse(VERSION_NOT_SUPPORTED);
        } else if (!RequestCheck.isUnambiguous(request.headers())) {
            request.refuse(BAD_REQUEST);
        } else if (request.declaredContentLength() > limits.get().maxBodyBytes()) {
            request.refuse(CONTENT_TOO_LARGE);
        } else if (RequestCodecFilter.hadLengthAndChunks(head)) {
            request.closeInAnyCase();
        }
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
            serial.run(state::connectionClosed);
        }
        return ctx.getInvokeAction();
    }
}
