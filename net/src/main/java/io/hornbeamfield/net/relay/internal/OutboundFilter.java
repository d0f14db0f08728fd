package io.hornbeamfield.net.relay.internal;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;

/** Passes response content to the exchange in progress on the connection. */
final class OutboundFilter extends BaseFilter {
    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        HttpContent content = ctx.getMessage();
        Connection<?> connection = ctx.getConnection();
        ConnectionInput.of(connection).parsed(content);
        OutboundExchange exchange = OutboundExchange.CURRENT.get(connection);
        if (exchange == null) {
            connection.terminateSilently();
        } else {
            exchange.read(content);
        }
        content.recycle();
        return ctx.getStopAction();
    }

    /** Ends a connection that has sent too much without content. */
    static void endExcessive(Connection<?> connection) {
        OutboundExchange exchange = OutboundExchange.CURRENT.get(connection);
        if (exchange == null) {
            connection.terminateSilently();
        } else {
            exchange.failExcessive("the response goes on without content");
        }
    }

    @Override
    public void exceptionOccurred(FilterChainContext ctx, Throwable error) {
        OutboundExchange exchange = OutboundExchange.CURRENT.get(ctx.getConnection());
        if (exchange != null) {
            exchange.fail("Reading the response failed: " + error);
        }
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        OutboundExchange exchange = OutboundExchange.CURRENT.get(ctx.getConnection());
        if (exchange != null) {
            exchange.closed(ConnectionEnd.OF.get(ctx.getConnection()));
        }
        return ctx.getInvokeAction();
    }
}
