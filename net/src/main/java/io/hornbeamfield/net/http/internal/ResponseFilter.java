package io.hornbeamfield.net.http.internal;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;

/** Passes response heads and body parts to the exchange of their connection. */
final class ResponseFilter extends BaseFilter {
    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        HttpContent content = ctx.getMessage();
        Exchange exchange = Exchange.CURRENT.get(ctx.getConnection());
        if (exchange != null) {
            HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
            if (ResponseStatus.isInterim(head.getStatus())) {
                exchange.interimHead();
                content.recycle();
                return ctx.getStopAction();
            }
            if (!exchange.headArrived()) {
                exchange.head(head.getStatus(), headers(head), BodyFraming.of(head));
            }
            forwardBody(exchange, content.getContent());
            if (content.isLast()) {
                exchange.end(!"close".equalsIgnoreCase(head.getHeader("Connection")));
            }
        }
        content.recycle();
        return ctx.getStopAction();
    }

    private static void forwardBody(Exchange exchange, Buffer buffer) {
        if (buffer != null && buffer.hasRemaining()) {
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            exchange.data(bytes);
        }
    }

    private static Map<String, String> headers(HttpResponsePacket head) {
        Map<String, String> map = new HashMap<>();
        for (String name : head.getHeaders().names()) {
            map.put(name.toLowerCase(Locale.ROOT), head.getHeader(name));
        }
        return map;
    }
}
