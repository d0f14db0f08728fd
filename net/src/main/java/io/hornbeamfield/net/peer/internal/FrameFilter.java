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

/** Splits the received bytes into frames and passes each to the link of its connection. */
final class FrameFilter extends BaseFilter {
    /** Far larger than a hello or proof; keeps unauthenticated peers from making a router buffer large frames. */
    private static final int MAX_UNAUTHENTICATED_FRAME_BYTES = 4096;

    private static final Attribute<Link> LINK =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(FrameFilter.class.getName() + ".link");

    private final Function<Connection<?>, Link> linkFactory;

    FrameFilter(Function<Connection<?>, Link> linkFactory) {
        this.linkFactory = linkFactory;
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
        Link link = linkFactory.apply(ctx.getConnection());
        LINK.set(ctx.getConnection(), link);
        link.start();
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        Link link = LINK.get(ctx.getConnection());
        Buffer buffer = ctx.getMessage();
        while (buffer.remaining() >= FrameCodec.HEADER_BYTES) {
            int length = buffer.getInt(buffer.position());
            int limit = link.isAuthenticated() ? PeerTransport.MAX_FRAME_BYTES : MAX_UNAUTHENTICATED_FRAME_BYTES;
            if (length < 0 || length > limit) {
                link.close();
                return stopAndKeep(ctx, buffer, null);
            }
            if (buffer.remaining() < FrameCodec.HEADER_BYTES + length) {
                return stopAndKeep(ctx, buffer, buffer);
            }
            byte[] body = new byte[length];
            buffer.position(buffer.position() + FrameCodec.HEADER_BYTES);
            buffer.get(body);
            link.receive(body);
        }
        return stopAndKeep(ctx, buffer, buffer.hasRemaining() ? buffer : null);
    }

    private static NextAction stopAndKeep(FilterChainContext ctx, Buffer buffer, @Nullable Buffer remainder) {
        if (remainder == null) {
            buffer.tryDispose();
            return ctx.getStopAction();
        }
        return ctx.getStopAction(remainder);
    }
}
