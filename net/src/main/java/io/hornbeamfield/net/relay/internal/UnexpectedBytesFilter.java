package io.hornbeamfield.net.relay.internal;

import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** Closes a connection on which bytes arrive while no request is in flight. */
final class UnexpectedBytesFilter extends BaseFilter {
    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        if (OutboundExchange.CURRENT.get(ctx.getConnection()) == null) {
            ctx.getConnection().terminateSilently();
            return ctx.getStopAction();
        }
        return ctx.getInvokeAction();
    }
}
