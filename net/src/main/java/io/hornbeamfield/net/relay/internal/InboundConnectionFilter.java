package io.hornbeamfield.net.relay.internal;

import io.hornbeamfield.net.relay.InboundLimits;
import java.util.function.Supplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** Registers client connections and records when bytes arrive on them. */
final class InboundConnectionFilter extends BaseFilter {
    private final InboundConnections connections;
    private final Supplier<InboundLimits> limits;

    InboundConnectionFilter(InboundConnections connections, Supplier<InboundLimits> limits) {
        this.connections = connections;
        this.limits = limits;
    }

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        Connection<?> c = ctx.getConnection();
        connections.add(c, new InboundState(c, limits));
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        InboundState state = InboundConnections.stateOf(ctx.getConnection());
        if (state != null) {
            state.bytesReceived();
        }
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        InboundState state = InboundConnections.stateOf(ctx.getConnection());
        if (state != null) {
            connections.remove(state);
        }
        return ctx.getInvokeAction();
    }
}
