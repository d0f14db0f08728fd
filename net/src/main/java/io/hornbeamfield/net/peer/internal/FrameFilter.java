package io.hornbeamfield.net.peer.internal;

import io.hornbeamfield.net.peer.PeerTransport;
import java.util.function.Function;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.jspecify.annotations.Nullable;

/** Cuts the received bytes into frames and hands each to the link of the connection. */
final class FrameFilter extends BaseFilter {
    /** A hello or proof is far smaller; the limit keeps strangers from making a router hold large frames. */
    private static final int MAX_UNAUTHENTICATED_FRAME_BYTES = 4096;

    private static final Attribute<Link> LINK =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(FrameFilter.class.getName() + ".link");

    private final Function<Connection<?>, Link> newLink;

    FrameFilter(Function<Connection<?>, Link> newLink) {
        this.newLink = newLink;
    }

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        return attach(ctx);
    }

    @Override
    public NextAction handleConnect(FilterChainContext ctx) {
        return attach(ctx);
    }

    private NextAction attach(FilterChainContext ctx) {
        Link link = newLink.apply(ctx.getConnection());
        LINK.set(ctx.getConnection(), link);
        link.begin();
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        Link link = LINK.get(ctx.getConnection());
        Buffer buffer = ctx.getMessage();
        while (buffer.remaining() >= Frames.HEADER_BYTES) {
            int length = buffer.getInt(buffer.position());
            int limit = link.isAuthenticated() ? PeerTransport.MAX_FRAME_BYTES : MAX_UNAUTHENTICATED_FRAME_BYTES;
            if (length < 0 || length > limit) {
                link.close();
                return stop(ctx, buffer, null);
            }
            if (buffer.remaining() < Frames.HEADER_BYTES + length) {
                return stop(ctx, buffer, buffer);
            }
            byte[] body = new byte[length];
            buffer.position(buffer.position() + Frames.HEADER_BYTES);
            buffer.get(body);
            link.receive(body);
        }
        return stop(ctx, buffer, buffer.hasRemaining() ? buffer : null);
    }

    private static NextAction stop(FilterChainContext ctx, Buffer buffer, @Nullable Buffer remainder) {
        if (remainder == null) {
            buffer.tryDispose();
            return ctx.getStopAction();
        }
        return ctx.getStopAction(remainder);
    }
}
