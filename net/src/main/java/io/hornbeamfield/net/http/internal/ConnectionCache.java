package io.hornbeamfield.net.http.internal;

import io.hornbeamfield.net.http.CallFailure;
import java.net.InetSocketAddress;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** Keeps idle connections by address and opens new ones. */
final class ConnectionCache {
    private static final int MAX_IDLE_PER_ADDRESS = 32;

    private final TCPNIOTransport transport;
    private final Map<InetSocketAddress, Deque<Connection<?>>> idle = new ConcurrentHashMap<>();

    ConnectionCache(TCPNIOTransport transport) {
        this.transport = transport;
    }

    void acquire(Exchange exchange) {
        Connection<?> cached = exchange.mayReuseConnection() ? pollIdle(exchange.address()) : null;
        if (cached != null) {
            exchange.sendOn(cached);
            return;
        }
        transport.connect(exchange.address(), new EmptyCompletionHandler<Connection>() {
            @Override
            public void completed(Connection connection) {
                exchange.sendOn(connection);
            }

            @Override
            public void failed(Throwable cause) {
                exchange.fail(new CallFailure(
                        CallFailure.Kind.CONNECT_FAILED, "Cannot connect to " + exchange.address() + ": " + cause));
            }
        });
    }

    void release(InetSocketAddress address, Connection<?> connection) {
        Deque<Connection<?>> queue = idle.computeIfAbsent(address, a -> new ConcurrentLinkedDeque<>());
        if (connection.isOpen() && queue.size() < MAX_IDLE_PER_ADDRESS) {
            queue.push(connection);
        } else {
            connection.closeSilently();
        }
    }

    /**
     * Closes the idle connections to an address on which a request got no answer in time: when one connection goes
     * silent, for example because a device between dropped its state, the others usually have too.
     */
    void discardIdle(InetSocketAddress address) {
        Connection<?> c = pollIdle(address);
        while (c != null) {
            c.closeSilently();
            c = pollIdle(address);
        }
    }

    private @org.jspecify.annotations.Nullable Connection<?> pollIdle(InetSocketAddress address) {
        Deque<Connection<?>> queue = idle.get(address);
        if (queue == null) {
            return null;
        }
        Connection<?> c = queue.poll();
        while (c != null && !c.isOpen()) {
            c = queue.poll();
        }
        return c;
    }
}
